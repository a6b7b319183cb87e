package trainer

import (
	"context"
	"net/netip"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/delivery"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// Token is one generated token and the weight version that produced it.
type Token = delivery.Token

// GenerateRequest asks for one sample.
type GenerateRequest struct {
	Job          string
	Organisation string
	Model        string
	// SampleID makes the call idempotent.
	SampleID  string
	Prompt    string
	MaxTokens int
	// Resume is the prefix that an earlier call returned before it failed.
	Resume []Token
	// Hedge says that the sample is running elsewhere too, on a server that is slow.
	Hedge bool
	// Progress is told the number of tokens so far; it never blocks and may be left uncalled, but
	// then a straggler is known only by its age.
	Progress func(tokens int)
	// Began is told the weight version of the first token that this call generates; it never blocks and may
	// be left uncalled, but then a sample that a new version made void runs to its end.
	Began func(version int)
}

// Generator generates samples at the backend servers of a model.
type Generator interface {
	// Generate returns all tokens, the resumed prefix included. With an error it returns the
	// tokens so far, so that the next call can resume from them.
	Generate(ctx context.Context, request GenerateRequest) ([]Token, error)
}

// ScoreRequest asks for the score of one sample.
type ScoreRequest struct {
	SampleID string
	Prompt   string
	Text     string
}

// Score is the score of one sample.
type Score struct {
	SampleID string
	Value    float64
}

// Scorer asks a scoring pool; the call is idempotent.
type Scorer interface {
	Score(ctx context.Context, pool, organisation string, samples []ScoreRequest) ([]Score, error)
}

// CopiedSample is the encoded content of a finished sample under its digest.
type CopiedSample struct {
	Step   int    `msgpack:"s"`
	Digest string `msgpack:"d"`
	Raw    []byte `msgpack:"r"`
}

// Copier keeps finished samples on a second host.
type Copier interface {
	// Copy returns the host that confirmed the copy, never this one.
	Copy(ctx context.Context, job string, sample CopiedSample) (netip.AddrPort, error)
	// Fetch returns those of the named contents that the host still holds.
	Fetch(ctx context.Context, from netip.AddrPort, job string, digests []string) ([]CopiedSample, error)
}

// Configuration is the part of *ticket.View that the coordinator reads.
type Configuration interface {
	Authenticate(key string) (ticket.Organisation, string, bool)
	TrainerJob(name string) (ticket.TrainerJob, bool)
	TrainerJobs() []ticket.TrainerJob
}

// Fence is a lease that is held.
type Fence struct {
	// Number is the fencing number.
	Number platform.Version
	// Deadline is when the holder must have stopped, the safety margin taken off.
	Deadline time.Time
}

// Lease is the lease of one duty as this host sees it.
type Lease interface {
	// Held says whether this host holds the lease now.
	Held(now time.Time) (Fence, bool)
	// Holder returns the peer address of the holder last seen.
	Holder() (netip.AddrPort, bool)
	// Changed is closed at the next change of holder.
	Changed() <-chan struct{}
}

// Seeker is implemented by a lease that looks for its holder only while somebody needs it.
type Seeker interface {
	// Seek says that the holder is needed now.
	Seek()
}

// Forwarder sends a trainer's request to the holder of the job's lease.
type Forwarder interface {
	Forward(ctx context.Context, to netip.AddrPort, request Forwarded) (Reply, error)
}

// Deps is what the coordinator needs from its process.
type Deps struct {
	Store platform.Store
	// View returns the configuration in force; it is never nil.
	View      func() Configuration
	Generator Generator
	// Scorer is asked only for jobs with a scoring pool.
	Scorer Scorer
	// Copier is nil in a deployment of one host, where nothing is copied.
	Copier Copier
	// Lease returns the lease of trainerJob/{job}; it contends until the context ends.
	Lease func(ctx context.Context, job string) Lease
	// Forwarder is nil in a process that never leaves a job to another.
	Forwarder Forwarder
	// Self is this host's peer address.
	Self netip.AddrPort
	// Secret signs the cursors; all entries share it.
	Secret []byte
	// Fresh says whether the configuration may still be relied on; nil means always.
	Fresh func(now time.Time) bool
	// Outage says whether more than half of the relays find the platform down, and when any of them is last
	// known to have reached it; nil leaves that to this host's own reads.
	Outage func(now time.Time) (reached time.Time, established bool)
	// PublishModelVersion makes a model version known to the backend servers, by a change of head.
	PublishModelVersion func(ctx context.Context, version ticket.ModelVersion) error
}
