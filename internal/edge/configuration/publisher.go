package configuration

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/lease"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

const (
	// earlyWait is how long a ticket waits for its predecessors. It is long enough for a tool that sends several
	// tickets at once, and short enough not to hold a connection for a ticket whose predecessor never comes.
	earlyWait = 2 * time.Second
	// settleTimeout is how long the publisher tries to settle a write whose response was lost, before it reports
	// that the write may have taken effect.
	settleTimeout    = 3 * time.Second
	settleRetryPause = 200 * time.Millisecond
	// callTimeout bounds each call to the platform.
	callTimeout = 2 * time.Second
	// maxPartWrites bounds the writes of one part: its creation, a second write after a conflict, and a repetition of
	// each after a lost response.
	maxPartWrites = 4
	// retryLater is the retry delay that a caller is given in an outage.
	retryLater = 5 * time.Second
	// retrySoon is the retry delay that a caller is given if the outcome will be known shortly.
	retrySoon = time.Second
)

// PublisherOption configures a Publisher.
type PublisherOption func(*Publisher)

// WithFollower lets the publisher use the parts that the follower has, and pass an accepted head to it and to all
// relays directly.
func WithFollower(follower *Follower) PublisherOption {
	return func(p *Publisher) { p.follower = follower }
}

// withTime replaces the clock and the sleep function.
func withTime(clock func() time.Time, sleep func(context.Context, time.Duration)) PublisherOption {
	return func(p *Publisher) { p.clock, p.sleep = clock, sleep }
}

// Publisher applies tickets. It may run on any number of hosts at once, since the conditional update of the head
// object lets only one of them succeed.
type Publisher struct {
	store    platform.Store
	follower *Follower
	clock    func() time.Time
	sleep    func(context.Context, time.Duration)
}

// NewPublisher returns a publisher that writes to the store.
func NewPublisher(store platform.Store, opts ...PublisherOption) *Publisher {
	p := &Publisher{store: store, clock: time.Now, sleep: func(ctx context.Context, length time.Duration) { ticker.Sleep(ctx, length) }}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Apply accepts the ticket under its number, or returns a *verdict.Refusal. A ticket that is already accepted under
// this number is accepted again without effect, so that callers may retry.
func (p *Publisher) Apply(ctx context.Context, number int, t ticket.Ticket) error {
	if err := t.Validate(); err != nil {
		return refuseTicket(number, err)
	}
	digest, err := ticket.Digest(t)
	if err != nil {
		return refuseTicket(number, err)
	}
	return p.commit(ctx, &ticketProposal{number: number, ticket: t, digest: digest, waitUntil: p.clock().Add(earlyWait)})
}

// AnnounceModelVersion lets the model's backend servers load a version beside the one they serve. A later
// PublishModelVersion then makes them switch with a single change of the head.
func (p *Publisher) AnnounceModelVersion(ctx context.Context, version ticket.ModelVersion) error {
	if err := validateVersion(version); err != nil {
		return err
	}
	return p.commit(ctx, &upcomingProposal{versionProposal{version: version}})
}

// PublishModelVersion sets the version that the model's backend servers are to serve, without a ticket. Versions
// only increase; setting the current version again has no effect.
func (p *Publisher) PublishModelVersion(ctx context.Context, version ticket.ModelVersion) error {
	if err := validateVersion(version); err != nil {
		return err
	}
	return p.commit(ctx, &versionProposal{version: version})
}

func validateVersion(version ticket.ModelVersion) error {
	single := ticket.Ticket{ModelVersions: []ticket.ModelVersion{version}}
	if err := single.Validate(); err != nil {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonBadRequest, 0, "%v", err)
	}
	return nil
}

// decision is the result of checking a proposal against the current configuration.
type decision struct {
	// done is set if the proposal is already in force.
	done bool
	// wait is set if a predecessor is missing: decide again at the next change of the head, or after this time.
	wait time.Duration
	// change is the change to commit in all other cases.
	change ticket.Change
}

// proposal is a change of the head that is decided again after each conflict.
type proposal interface {
	// decide checks the proposal against the view. If wasUnconfirmed is set, an earlier update of this attempt may have
	// taken effect and been replaced by a later one.
	decide(view *ticket.View, now time.Time, wasUnconfirmed bool) (decision, error)
	// outcomeUnknown returns the refusal for an update that may have taken effect.
	outcomeUnknown(cause error) *verdict.Refusal
}

// commit applies a proposal to the head by conditional update.
//
// It guards against two failures. The first is a race of operators: the update is conditional on the version that
// the decision is based on, so exactly one of them succeeds and the others decide again. The second is a lost
// response: the update may have taken effect or may still be in flight, and reading the head can't tell these apart.
// So the same update is repeated. If it succeeds, the lost one can no longer take effect. If it conflicts, the head
// shows whose ticket has the number.
func (p *Publisher) commit(ctx context.Context, proposed proposal) error {
	a := attempt{publisher: p, proposal: proposed}
	for {
		done, err := a.tryOnce(ctx)
		if done {
			return err
		}
		if err := a.retryOrRefuse(ctx, err); err != nil {
			return err
		}
	}
}

// attempt is the state of one call of commit.
type attempt struct {
	publisher *Publisher
	proposal  proposal
	// unconfirmedVersion is the version on which an update with an unknown outcome was conditional. The version is 0 if
	// there was no head, so unconfirmed reports whether there is such an update.
	unconfirmedVersion platform.Version
	unconfirmed        bool
	// wasUnconfirmed is set once an update is unconfirmed, and stays set after its outcome is known.
	wasUnconfirmed bool
	// settleDeadline is when an update whose outcome is still unknown is reported as such.
	settleDeadline time.Time
}

// retryOrRefuse returns the refusal that ends the attempt, or nil if the attempt goes on. After an error it pauses.
func (a *attempt) retryOrRefuse(ctx context.Context, cause error) error {
	if cause == nil {
		return a.refuseIfCancelled(ctx)
	}
	if !a.unconfirmed {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonPlatformUnavailable,
			retryLater, "nothing was written: %v", cause)
	}
	if a.publisher.clock().After(a.settleDeadline) || ctx.Err() != nil {
		return a.proposal.outcomeUnknown(cause)
	}
	a.publisher.sleep(ctx, settleRetryPause)
	return nil
}

func (a *attempt) refuseIfCancelled(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	if a.unconfirmed {
		return a.proposal.outcomeUnknown(ctx.Err())
	}
	return verdict.Refuse(verdict.NotRun, verdict.ReasonCancelled, retrySoon,
		"nothing was written: %v", ctx.Err())
}

// tryOnce reads the head, decides, and writes. It returns true when the outcome is known. Otherwise a nil error means
// an immediate retry, and a non-nil error names the step that failed.
func (a *attempt) tryOnce(ctx context.Context) (bool, error) {
	found, err := a.publisher.read(ctx)
	if err != nil {
		return false, err
	}
	version := found.version
	// If the head's version has changed, the unconfirmed update has either taken effect or will fail its condition.
	if a.unconfirmed && version != a.unconfirmedVersion {
		a.unconfirmed = false
	}
	decided, err := a.proposal.decide(found.view, a.publisher.clock(), a.wasUnconfirmed)
	switch {
	case err != nil:
		return true, err
	case decided.done:
		a.publisher.shareHead(ctx, found)
		return true, nil
	case decided.wait > 0:
		return false, a.publisher.awaitChange(ctx, version, decided.wait)
	default:
		return a.write(ctx, version, decided.change)
	}
}

// write stores the parts and then the head, which commits the change. A failure before that leaves at most
// unreferenced parts.
func (a *attempt) write(ctx context.Context, version platform.Version, change ticket.Change) (bool, error) {
	value, err := change.Head.Encode()
	if err != nil {
		return true, verdict.Refuse(verdict.NotRun, verdict.ReasonDefect, 0, "%v", err)
	}
	started := a.publisher.clock()
	for _, part := range change.Parts {
		if err := a.publisher.writePart(ctx, part); err != nil {
			return false, err
		}
	}
	// This guards against a process that is suspended here until the sweeper has deleted the parts, which takes an
	// hour. It would commit a head that references missing parts, and no host could apply the configuration. So the
	// parts are written again.
	now := a.publisher.clock()
	if lease.InstantAt(started, now).Elapsed(lease.InstantAt(started, started)) > maxPartsAge {
		return false, nil
	}
	return a.writeHead(ctx, version, value, change)
}

func (a *attempt) writeHead(ctx context.Context, version platform.Version, value json.RawMessage, change ticket.Change) (bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	written, err := a.publisher.store.Put(callCtx, ticket.HeadObject, value, version)
	switch {
	case err == nil:
		a.publisher.shareWrittenHead(ctx, uint64(written), value, change)
		return true, nil
	case errors.Is(err, platform.ErrConflict):
		return false, nil
	case errors.Is(err, platform.ErrUnavailable):
		return false, errors.Wrap(err, "head")
	}
	if !a.unconfirmed {
		a.unconfirmed, a.wasUnconfirmed, a.unconfirmedVersion = true, true, version
		a.settleDeadline = a.publisher.clock().Add(settleTimeout)
	}
	return false, errors.Wrap(err, "head")
}

// writePart creates the part, or writes it again if it exists. Since the name is the content hash, an existing part
// has the same content, and an update with an unknown outcome can be repeated.
//
// The second write guards against the deletion of a part that has been unreferenced for an hour. Its new version makes
// the sweeper's conditional deletion fail, and the hour starts again.
func (p *Publisher) writePart(ctx context.Context, part ticket.Part) error {
	known := platform.Version(0)
	for range maxPartWrites {
		err := p.putPart(ctx, part, known)
		if err == nil {
			return nil
		}
		if errors.Is(err, platform.ErrUnavailable) {
			return errors.Wrapf(err, "part %s", part.Name)
		}
		if known, err = p.partVersion(ctx, part); err != nil {
			return errors.Wrapf(err, "part %s", part.Name)
		}
	}
	return errors.Wrapf(platform.ErrOutcomeUnknown, "part %s", part.Name)
}

func (p *Publisher) putPart(ctx context.Context, part ticket.Part, ifVersion platform.Version) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := p.store.Put(ctx, ticket.PartObject(part.Hash), part.Content, ifVersion)
	return err
}

// partVersion returns the version of the stored part, 0 if there is none.
func (p *Publisher) partVersion(ctx context.Context, part ticket.Part) (platform.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := p.store.Get(ctx, ticket.PartObject(part.Hash))
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	return object.Version, err
}

// storedConfiguration is the configuration that the platform held at one moment.
type storedConfiguration struct {
	view    *ticket.View
	version platform.Version
	value   json.RawMessage
}

// read returns the configuration that the platform holds now. The follower's view may be older, so only its parts
// are used.
func (p *Publisher) read(ctx context.Context) (storedConfiguration, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := p.store.Get(callCtx, ticket.HeadObject)
	if errors.Is(err, platform.ErrNotFound) {
		return storedConfiguration{view: ticket.EmptyView()}, nil
	}
	if err != nil {
		return storedConfiguration{}, errors.Wrap(err, "head")
	}
	head, err := ticket.DecodeHead(object.Value)
	if err != nil {
		return storedConfiguration{}, err
	}
	local := newSnapshot()
	if p.follower != nil {
		local = p.follower.current.Load()
	}
	parts, err := readParts(callCtx, p.store, local.missingParts(head))
	if err != nil {
		return storedConfiguration{}, err
	}
	view, err := ticket.NewView(uint64(object.Version), head, mergeParts(local.parts, parts))
	return storedConfiguration{view: view, version: object.Version, value: object.Value}, err
}

// awaitChange waits until the head changes or the wait is over.
func (p *Publisher) awaitChange(ctx context.Context, version platform.Version, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	_, err := p.store.Watch(ctx, ticket.HeadObject, version, wait)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return errors.Wrap(err, "head")
}

func refuseTicket(number int, cause error) *verdict.Refusal {
	return verdict.Refuse(verdict.NotRun, verdict.ReasonBadRequest, 0, "ticket %d: %v", number, cause)
}
