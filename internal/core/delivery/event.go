package delivery

import (
	"net/netip"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// AskID names a waiting request of the trainer.
type AskID uint64

// Event is something that happened to the job; see Job.Handle.
type Event interface{ event() }

// Requests of the trainer. Each is answered by exactly one Answer, at once or later.
type (
	// StepAsked posts a step.
	StepAsked struct {
		ID        AskID
		Step      int
		Digest    string
		Sizes     []int
		BatchSize int
		// Chunks is the number of objects that hold the body once it is stored.
		Chunks int
		Cursor *Cursor
	}
	// BatchAsked asks for a batch and acknowledges the one before.
	BatchAsked struct {
		ID     AskID
		Step   int
		Batch  int
		Cursor *Cursor
		// Manifest is what the cursor's Kept names, once it was found.
		Manifest *Manifest
	}
	// VersionAsked posts a model version.
	VersionAsked struct {
		ID      AskID
		Version int
		Weights string
		Cursor  *Cursor
	}
	// AskExpired refuses a request that still waits.
	AskExpired struct {
		ID         AskID
		RetryAfter time.Duration
	}
)

// Results of the effects Read and Write.
type (
	// Loaded brings the job object; an absent one has the zero record and version 0.
	Loaded struct {
		Record  Record
		Version uint64
	}
	// ReadFailed says that the platform could not be read.
	ReadFailed struct{}
	// Written says that the write took effect.
	Written struct{ Version uint64 }
	// WriteConflicted says that the object had moved; nothing was written.
	WriteConflicted struct{}
	// WriteUnavailable says that nothing was written, since the platform is down.
	WriteUnavailable struct{}
	// WriteUnsettled says that the answer was lost; the write may take effect, even later.
	WriteUnsettled struct{}
	// WriteFenced says that the lease ended right before the write; nothing was sent.
	WriteFenced struct{}
)

// Changes around the job.
type (
	// FenceChanged tells whether the lease is held, and its fencing number. Renewed says that
	// the lease was held without a gap since the last number, so that no other holder came between.
	FenceChanged struct {
		Number  uint64
		Held    bool
		Renewed bool
	}
	// Superseded says that another holder of the lease was seen.
	Superseded struct{}
	// OutageChanged says whether the platform is down for most hosts, and nobody is known to have reached it
	// since this host's last term ended, so that no other host can have taken the lease.
	OutageChanged struct{ Established bool }
	// BoundChanged sets the staleness bound, in versions.
	BoundChanged struct{ Bound int }
	// Ticked comes about once a second and tries an unreachable platform again.
	Ticked struct{}
	// ContentLost says that no host holds the content of a batch any more.
	ContentLost struct{ Step, Batch int }
)

// Work names one attempt at a sample. Results of an attempt that was given up are ignored.
type Work struct {
	Step     int
	Position int
	Attempt  int
}

// Progress of samples.
type (
	// SampleStarted says that an engine works on the sample.
	SampleStarted struct{ Work Work }
	// SampleFailed brings the tokens so far, to resume from.
	SampleFailed struct {
		Work   Work
		Tokens []Token
	}
	// SampleGenerated brings all tokens and the digest of the encoded content.
	SampleGenerated struct {
		Work   Work
		Tokens []Token
		Digest string
	}
	// SampleCopied names the second host that holds the content.
	SampleCopied struct {
		Work Work
		Host netip.AddrPort
	}
	// SampleScored brings the score.
	SampleScored struct {
		Work  Work
		Score float64
	}
)

func (StepAsked) event()        {}
func (BatchAsked) event()       {}
func (VersionAsked) event()     {}
func (AskExpired) event()       {}
func (Loaded) event()           {}
func (ReadFailed) event()       {}
func (Written) event()          {}
func (WriteConflicted) event()  {}
func (WriteUnavailable) event() {}
func (WriteUnsettled) event()   {}
func (WriteFenced) event()      {}
func (FenceChanged) event()     {}
func (Superseded) event()       {}
func (OutageChanged) event()    {}
func (BoundChanged) event()     {}
func (Ticked) event()           {}
func (ContentLost) event()      {}
func (SampleStarted) event()    {}
func (SampleFailed) event()     {}
func (SampleGenerated) event()  {}
func (SampleCopied) event()     {}
func (SampleScored) event()     {}

// Effect is something that the caller of Job.Handle does.
type Effect interface{ effect() }

// The effects. At most one Read or Write is under way at a time.
type (
	// Read loads the job object.
	Read struct{}
	// Write updates the job object if its version is still IfVersion and the lease is held.
	Write struct {
		Record    Record
		IfVersion uint64
		// Body says that the body of the record's step is stored before.
		Body bool
	}
	// Answer ends a request of the trainer.
	Answer struct {
		ID     AskID
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
	// StepAccepted answers StepAsked.
	StepAccepted struct {
		Samples int
		Batches int
		Cursor  Cursor
	}
	// BatchReady answers BatchAsked.
	BatchReady struct {
		Step     int
		Manifest Manifest
		Cursor   Cursor
		// Unwritten says that the manifest is not in the job object: it has to be kept before the batch is handed out.
		Unwritten bool
	}
	// BatchKept answers BatchAsked: the manifest is to be found, and the batch asked for with it.
	BatchKept struct {
		Step int
		Kept Kept
	}
	// VersionAccepted answers VersionAsked.
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
func (BatchKept) result()       {}
func (VersionAccepted) result() {}
func (Refused) result()         {}
