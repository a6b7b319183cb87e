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
	// earlyWait is how long a ticket waits for its predecessors: long enough for an operator's tool that
	// sends several tickets at once, short enough that a connection is not kept for a forgotten one.
	earlyWait = 2 * time.Second
	// settleWait is how long a write whose answer was lost is settled before the caller is told that it
	// may have taken effect.
	settleWait = 3 * time.Second
	settlePace = 200 * time.Millisecond
	// callTimeout bounds each call to the platform.
	callTimeout = 2 * time.Second
	// partTries bounds the writes of one part: created, written again after a conflict, and both again after lost answers.
	partTries = 4
	// retryLater is when a caller should come back after an outage.
	retryLater = 5 * time.Second
	// retrySoon is when a caller should come back where the outcome is known within a moment.
	retrySoon = time.Second
)

// PublisherOption changes a Publisher.
type PublisherOption func(*Publisher)

// WithFollower lets the publisher use the parts that the follower holds, and hand an accepted head to
// it and to all relays at once.
func WithFollower(follower *Follower) PublisherOption {
	return func(p *Publisher) { p.follower = follower }
}

// withTime replaces the clock and the pauses.
func withTime(clock func() time.Time, sleep func(context.Context, time.Duration)) PublisherOption {
	return func(p *Publisher) { p.clock, p.sleep = clock, sleep }
}

// Publisher applies tickets. It may be used on any number of hosts at once: the conditional update of
// the head object decides between them.
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

// Apply accepts the ticket under its number, or returns a *verdict.Refusal. A ticket that was accepted
// before under the same number is accepted again without effect, so that a caller may repeat it.
func (p *Publisher) Apply(ctx context.Context, number int, t ticket.Ticket) error {
	if err := t.Validate(); err != nil {
		return refuseTicket(number, err)
	}
	digest, err := ticket.Digest(t)
	if err != nil {
		return refuseTicket(number, err)
	}
	return p.commit(ctx, &numbered{number: number, ticket: t, digest: digest, early: p.clock().Add(earlyWait)})
}

// AnnounceModelVersion lets a model's servers load a version beside the one they serve. PublishModelVersion then
// makes them switch by one change of the head.
func (p *Publisher) AnnounceModelVersion(ctx context.Context, version ticket.ModelVersion) error {
	if err := validVersion(version); err != nil {
		return err
	}
	return p.commit(ctx, &announced{versioned{version: version}})
}

// PublishModelVersion sets the version that a model's servers are to serve, without a ticket. Versions
// only grow; the version that is set already is accepted again without effect.
func (p *Publisher) PublishModelVersion(ctx context.Context, version ticket.ModelVersion) error {
	if err := validVersion(version); err != nil {
		return err
	}
	return p.commit(ctx, &versioned{version: version})
}

func validVersion(version ticket.ModelVersion) error {
	single := ticket.Ticket{ModelVersions: []ticket.ModelVersion{version}}
	if err := single.Validate(); err != nil {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonBadRequest, 0, "%v", err)
	}
	return nil
}

// decision is what a proposal makes of the present configuration.
type decision struct {
	// done: the proposal is in force already.
	done bool
	// wait: a predecessor is missing; ask again at the next change.
	wait time.Duration
	// change is to be committed otherwise.
	change ticket.Change
}

// proposal is a change of the head that is decided again after each conflict.
type proposal interface {
	// decide judges the proposal by the view. Doubted says that an update of this attempt may have taken
	// effect and been replaced by a later one.
	decide(view *ticket.View, now time.Time, doubted bool) (decision, error)
	unsettled(cause error) *verdict.Refusal
}

// commit brings a proposal into the head by conditional update.
//
// It guards against two failures. Operators race: the update is conditional on the version that the
// decision was made on, so exactly one of them wins and the others decide again. And the answer of an
// update may be lost: it may have taken effect or still be under way. Reading the head alone can't
// tell these apart, so the same update is tried again. Either it succeeds, and the lost one can have no
// effect any more, or it conflicts, and the head shows whose ticket has the number.
func (p *Publisher) commit(ctx context.Context, proposed proposal) error {
	a := attempt{publisher: p, proposal: proposed}
	for {
		done, err := a.once(ctx)
		if done {
			return err
		}
		if err := a.mayGoOn(ctx, err); err != nil {
			return err
		}
	}
}

// attempt is one call of commit.
type attempt struct {
	publisher *Publisher
	proposal  proposal
	// doubt is the version on which an update of unknown fate was conditional; 0 doesn't occur for a
	// head that exists, so inDoubt says whether there is one.
	doubt   platform.Version
	inDoubt bool
	// doubted stays set after a doubt was settled.
	doubted bool
	// giveUp is when an update of unknown fate is reported as such.
	giveUp time.Time
}

// mayGoOn returns the refusal that ends the attempt, or nil after a pause.
func (a *attempt) mayGoOn(ctx context.Context, cause error) error {
	if cause == nil {
		return a.ended(ctx)
	}
	if !a.inDoubt {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonPlatformUnavailable,
			retryLater, "nothing was written: %v", cause)
	}
	if a.publisher.clock().After(a.giveUp) || ctx.Err() != nil {
		return a.proposal.unsettled(cause)
	}
	a.publisher.sleep(ctx, settlePace)
	return nil
}

func (a *attempt) ended(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	if a.inDoubt {
		return a.proposal.unsettled(ctx.Err())
	}
	return verdict.Refuse(verdict.NotRun, verdict.ReasonCancelled, retrySoon,
		"nothing was written: %v", ctx.Err())
}

// once reads the head, decides, and writes. It returns true when the outcome is known. Else a nil error
// asks for another try at once, and an error says which step failed.
func (a *attempt) once(ctx context.Context) (bool, error) {
	found, err := a.publisher.read(ctx)
	if err != nil {
		return false, err
	}
	version := found.version
	// A head with another version than the one in doubt shows that the update took effect or never will.
	if a.inDoubt && version != a.doubt {
		a.inDoubt = false
	}
	decided, err := a.proposal.decide(found.view, a.publisher.clock(), a.doubted)
	switch {
	case err != nil:
		return true, err
	case decided.done:
		a.publisher.spread(ctx, found)
		return true, nil
	case decided.wait > 0:
		return false, a.publisher.await(ctx, version, decided.wait)
	default:
		return a.write(ctx, version, decided.change)
	}
}

// write stores the parts and then the head, the commit point. A failure at the parts leaves at most
// parts that no head names.
func (a *attempt) write(ctx context.Context, version platform.Version, change ticket.Change) (bool, error) {
	value, err := change.Head.Encode()
	if err != nil {
		return true, verdict.Refuse(verdict.NotRun, verdict.ReasonDefect, 0, "%v", err)
	}
	began := a.publisher.clock()
	for _, part := range change.Parts {
		if err := a.publisher.writePart(ctx, part); err != nil {
			return false, err
		}
	}
	// Guard: a process that is stopped here and wakes after the sweeper's hour would commit a head that names parts which
	// are gone, and no host could take the configuration in. Its parts are written again instead.
	now := a.publisher.clock()
	if lease.InstantAt(began, now).Elapsed(lease.InstantAt(began, began)) > partsGoodFor {
		return false, nil
	}
	return a.writeHead(ctx, version, value, change)
}

func (a *attempt) writeHead(ctx context.Context, version platform.Version, value json.RawMessage, change ticket.Change) (bool, error) {
	calling, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	written, err := a.publisher.store.Put(calling, ticket.HeadObject, value, version)
	switch {
	case err == nil:
		a.publisher.spreadChange(ctx, uint64(written), value, change)
		return true, nil
	case errors.Is(err, platform.ErrConflict):
		return false, nil
	case errors.Is(err, platform.ErrUnavailable):
		return false, errors.Wrap(err, "head")
	}
	if !a.inDoubt {
		a.inDoubt, a.doubted, a.doubt = true, true, version
		a.giveUp = a.publisher.clock().Add(settleWait)
	}
	return false, errors.Wrap(err, "head")
}

// writePart creates the part, or writes it again if it is there. The name is the content's hash, so a part that is
// there already is the same one, and an update of unknown fate can simply be repeated.
//
// Guard: a part that is there may be one that no head has named for an hour, which the sweeper is about to delete. Its new
// version makes that deletion fail, and the sweeper's hour begins anew.
func (p *Publisher) writePart(ctx context.Context, part ticket.Part) error {
	known := platform.Version(0)
	for range partTries {
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

// partVersion returns 0 for a part that is absent.
func (p *Publisher) partVersion(ctx context.Context, part ticket.Part) (platform.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := p.store.Get(ctx, ticket.PartObject(part.Hash))
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	return object.Version, err
}

// reading is the configuration as the platform had it at one moment.
type reading struct {
	view    *ticket.View
	version platform.Version
	value   json.RawMessage
}

// read returns the configuration as the platform has it now. The follower's view may be older, so only
// its parts are used.
func (p *Publisher) read(ctx context.Context) (reading, error) {
	calling, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := p.store.Get(calling, ticket.HeadObject)
	if errors.Is(err, platform.ErrNotFound) {
		return reading{view: ticket.EmptyView()}, nil
	}
	if err != nil {
		return reading{}, errors.Wrap(err, "head")
	}
	head, err := ticket.DecodeHead(object.Value)
	if err != nil {
		return reading{}, err
	}
	held := newSnapshot()
	if p.follower != nil {
		held = p.follower.current.Load()
	}
	parts, err := readParts(calling, p.store, held.missing(head))
	if err != nil {
		return reading{}, err
	}
	view, err := ticket.NewView(uint64(object.Version), head, joined(held.parts, parts))
	return reading{view: view, version: object.Version, value: object.Value}, err
}

// await waits for a change of the head.
func (p *Publisher) await(ctx context.Context, version platform.Version, wait time.Duration) error {
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
