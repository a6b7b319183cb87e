package delivery

import (
	"net/netip"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// TrainerRequestID identifies a pending request of the trainer.
type TrainerRequestID uint64

// Event is an input of the job's state machine; see Job.Handle.
type Event interface{ event() }

// Requests of the trainer. Each gets exactly one Answer, immediately or later.
type (
	// StepRequested posts a step.
	StepRequested struct {
		ID         TrainerRequestID
		Step       int
		Digest     string
		GroupSizes []int
		BatchSize  int
		// Chunks is the number of objects that hold the step's body once it is stored.
		Chunks int
		Cursor *Cursor
	}
	// BatchRequested requests a batch and acknowledges the one before.
	BatchRequested struct {
		ID     TrainerRequestID
		Step   int
		Batch  int
		Cursor *Cursor
		// Manifest is the manifest that the cursor locates, once the caller has fetched it; see
		// ManifestNeeded.
		Manifest *Manifest
	}
	// VersionRequested publishes a model version.
	VersionRequested struct {
		ID      TrainerRequestID
		Version int
		Weights string
		Cursor  *Cursor
	}
	// RequestExpired refuses a request that is still pending.
	RequestExpired struct {
		ID         TrainerRequestID
		RetryAfter time.Duration
	}
)

// Results of the effects Read and Write.
type (
	// Loaded carries the job object; for an absent object Record is the zero record and Version is 0.
	Loaded struct {
		Record  Record
		Version uint64
	}
	// ReadFailed reports that the platform could not be read.
	ReadFailed struct{}
	// Written reports that the write took effect.
	Written struct{ Version uint64 }
	// WriteConflicted reports that the object had another version than expected; nothing was written.
	WriteConflicted struct{}
	// WriteUnavailable reports that nothing was written: the platform is down or refused the write, or the
	// write was not sent in time.
	WriteUnavailable struct{}
	// WriteUncertain reports that the answer was lost: the write may have taken effect, or may still do so
	// later.
	WriteUncertain struct{}
	// WriteFenced reports that the lease ended just before the write; nothing was sent.
	WriteFenced struct{}
)

// Changes of the lease, the platform, the configuration and the stored contents, and the clock tick.
type (
	// LeaseChanged reports whether the lease is held, and its fencing number. Renewed means that the lease has
	// been held without a gap since the previous number, so no other host held it in between.
	LeaseChanged struct {
		FencingNumber uint64
		Held          bool
		Renewed       bool
	}
	// Superseded reports that another host holds the lease.
	Superseded struct{}
	// OutageChanged reports whether an outage of the platform is established: the platform is down for most
	// hosts, and no host is known to have reached it since this host's last lease term ended. No other host
	// can have taken the lease then.
	OutageChanged struct{ Established bool }
	// StalenessBoundChanged sets the staleness bound, in model versions.
	StalenessBoundChanged struct{ Bound int }
	// Ticked arrives about once a second and retries an unreachable platform.
	Ticked struct{}
	// ContentLost reports that no host holds the content of a batch any more.
	ContentLost struct{ Step, Batch int }
)

// SampleAttempt identifies one attempt at a sample of a step. Results of abandoned attempts are ignored.
type SampleAttempt struct {
	Step     int
	Position int
	Number   int
}

// Progress of samples.
type (
	// SampleStarted reports that an engine is generating the sample.
	SampleStarted struct{ Attempt SampleAttempt }
	// SampleFailed reports a failed generation and carries the tokens so far, from which the next call
	// resumes.
	SampleFailed struct {
		Attempt SampleAttempt
		Tokens  []Token
	}
	// SampleGenerated carries all tokens and the digest of the encoded content.
	SampleGenerated struct {
		Attempt SampleAttempt
		Tokens  []Token
		Digest  string
	}
	// SampleCopied reports the second host that holds the content.
	SampleCopied struct {
		Attempt SampleAttempt
		Host    netip.AddrPort
	}
	// SampleScored carries the score.
	SampleScored struct {
		Attempt SampleAttempt
		Score   float64
	}
)

func (StepRequested) event()         {}
func (BatchRequested) event()        {}
func (VersionRequested) event()      {}
func (RequestExpired) event()        {}
func (Loaded) event()                {}
func (ReadFailed) event()            {}
func (Written) event()               {}
func (WriteConflicted) event()       {}
func (WriteUnavailable) event()      {}
func (WriteUncertain) event()        {}
func (WriteFenced) event()           {}
func (LeaseChanged) event()          {}
func (Superseded) event()            {}
func (OutageChanged) event()         {}
func (StalenessBoundChanged) event() {}
func (Ticked) event()                {}
func (ContentLost) event()           {}
func (SampleStarted) event()         {}
func (SampleFailed) event()          {}
func (SampleGenerated) event()       {}
func (SampleCopied) event()          {}
func (SampleScored) event()          {}

// Effect is an action that the caller of Job.Handle carries out.
type Effect interface{ effect() }

// The effects. At most one Read or Write is in flight at a time.
type (
	// Read loads the job object.
	Read struct{}
	// Write updates the job object if its version is still IfVersion and the lease is still held.
	Write struct {
		Record    Record
		IfVersion uint64
		// StoreBody asks to store the body of the record's step before the record.
		StoreBody bool
	}
	// Answer completes a request of the trainer.
	Answer struct {
		ID     TrainerRequestID
		Result Result
	}
)

func (Read) effect()   {}
func (Write) effect()  {}
func (Answer) effect() {}

// Result is the content of an answer.
type Result interface{ result() }

// The results.
type (
	// StepAccepted answers StepRequested.
	StepAccepted struct {
		Samples int
		Batches int
		Cursor  Cursor
	}
	// BatchReady answers BatchRequested.
	BatchReady struct {
		Step     int
		Manifest Manifest
		Cursor   Cursor
		// ManifestUnwritten means that the manifest is not in the job object: the caller stores the manifest
		// on hosts before it sends the batch.
		ManifestUnwritten bool
	}
	// ManifestNeeded answers BatchRequested: the caller fetches the manifest from the given hosts and sends
	// BatchRequested again with it.
	ManifestNeeded struct {
		Step             int
		ManifestLocation ManifestLocation
	}
	// VersionAccepted answers VersionRequested.
	VersionAccepted struct {
		Version int
		Weights string
		// Cursor is nil before the first step.
		Cursor *Cursor
	}
	// Refused answers any request.
	Refused struct{ Refusal *verdict.Refusal }
)

func (StepAccepted) result()    {}
func (BatchReady) result()      {}
func (ManifestNeeded) result()  {}
func (VersionAccepted) result() {}
func (Refused) result()         {}
