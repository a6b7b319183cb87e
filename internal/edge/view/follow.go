package view

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/roster"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/platform"
)

// MethodPart asks another entry for what it knows of a kind.
const MethodPart peer.Method = "view.part"

const (
	// watchWait is how long a watch waits for a change. Each watch is paid for; the store allows 30 s, but keeps its history for 20 s at
	// most, and a watch from before that ends in an error and a list.
	watchWait = 8 * time.Second
	// retryPause is the mean pause after a failed call, doubled up to retryMost: in an outage three watches of an entry make
	// some four calls a second together, and a store that is back is noticed within a second.
	retryPause = 200 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// partTimeout bounds the fetch of a part from another entry.
	partTimeout = time.Second
	// gatherTime is the least time between two watches of the list of servers. Each watch is paid for and ends with the first change,
	// and a new weight version changes the entries of a dozen engines within a second. A leaving server may get requests for two
	// seconds more.
	gatherTime = 400 * time.Millisecond
	// beginMost is how long a fresh entry that is not among the first in order waits for data from others before it reads the store.
	beginMost = 2 * time.Second
)

// Source is the store as far as a follower needs it.
type Source interface {
	List(ctx context.Context, kind string) ([]product.Object, product.Version, error)
	Watch(ctx context.Context, kind string, after product.Version, wait time.Duration) (platform.Changes, error)
	// Probe finds out cheaply whether the store can be reached.
	Probe(ctx context.Context) error
}

// Members are the other entries.
type Members interface {
	Self() gossip.Member
	// Alive returns those that are heard of.
	Alive(now time.Time) []gossip.Member
}

// Follower keeps a view up to date.
type Follower struct {
	view     *View
	source   Source
	client   *peer.Client
	members  Members
	contacts *contacts
	log      zerolog.Logger
	work     conc.WaitGroup
	started  time.Time
	watches  watches
}

// NewFollower follows the store until ctx ends, and serves the view's parts to other entries.
func NewFollower(ctx context.Context, members Members, view *View, source Source, client *peer.Client, registry *peer.Registry, log zerolog.Logger) *Follower {
	f := &Follower{
		view:     view,
		source:   source,
		client:   client,
		members:  members,
		contacts: newContacts(members.Self().HostID),
		log:      log,
		started:  time.Now(),
	}
	peer.Handle(registry, MethodPart, func(_ context.Context, q PartRequest) (PartAnswer, error) {
		part, _ := view.Part(q.Kind)
		return part.since(q.Known), nil
	})
	for _, kind := range Kinds {
		f.work.Go(func() { f.follow(ctx, kind) })
	}
	f.work.Go(func() { f.probe(ctx) })
	return f
}

// Wait returns once all goroutines have ended, after the context has.
func (f *Follower) Wait() { f.work.Wait() }

// Heard fetches what another entry has newer.
func (f *Follower) Heard(ctx context.Context, from gossip.Member, revisions map[string]uint64) {
	mine := f.view.Revisions()
	for _, kind := range Kinds {
		if revisions[kind] > mine[kind] {
			f.work.Go(func() { f.fetch(ctx, from.Address, kind) })
		}
	}
}

func (f *Follower) fetch(ctx context.Context, from netip.AddrPort, kind string) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	part, _ := f.view.Part(kind)
	answer, err := peer.Call[PartRequest, PartAnswer](ctx, f.client, from, MethodPart, PartRequest{Kind: kind, Known: part.Revision})
	if err != nil {
		// The next beat tells of the newer revision again.
		f.log.Debug().Err(err).Str("kind", kind).Stringer("entry", from).Msg("part not fetched")
		return
	}
	if answer.Kind == kind {
		f.view.Offer(part.updated(answer))
	}
}

// Contacts returns how long ago each entry was last known to reach the store, in milliseconds, for the other entries.
func (f *Follower) Contacts(now time.Time) map[string]int64 { return f.contacts.ages(now) }

// Outage says whether no entry has reached the store lately, so that no call to it can succeed.
func (f *Follower) Outage(now time.Time) bool { return f.contacts.outage(now) }

// Reaches says whether another entry is known to have reached the store lately.
func (f *Follower) Reaches(now time.Time, host string) bool { return f.contacts.fresh(now, host) }

// HeardContacts takes in the contacts that another entry told.
func (f *Follower) HeardContacts(now time.Time, ages map[string]int64) { f.contacts.merge(now, ages) }

// probe makes sure that this entry reaches the store while it follows it. A watch on a connection that a partition cut says nothing
// for seconds, and all that rely on it would go on with an old configuration.
func (f *Follower) probe(ctx context.Context) {
	followed, known := false, 0
	for ticker.Sleep(ctx, probePause) {
		now := time.Now()
		chosen := f.contacts.chosen(now, f.place(now), followers)
		if chosen && f.contacts.age(now) >= probePause {
			f.probeOnce(ctx)
		}
		failures, failing := f.contacts.lost()
		if chosen && !failing && (!followed || failures != known) {
			f.watches.restart()
			known = failures
		}
		followed = chosen
	}
}

func (f *Follower) probeOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	f.contacts.note(time.Now(), f.source.Probe(ctx))
}

// follow lists a kind and then watches it, for ever, while this entry is one of those that follow the store.
func (f *Follower) follow(ctx context.Context, kind string) {
	pause := retryPause
	var watched product.Version
	for ctx.Err() == nil {
		if !f.due(kind) {
			f.fetchFromPredecessor(ctx, kind)
			ticker.Sleep(ctx, restPause)
			continue
		}
		began := time.Now()
		var err error
		watched, err = f.step(ctx, kind, watched)
		if errors.Is(err, errRestarted) {
			continue
		}
		f.contacts.note(time.Now(), err)
		if err == nil {
			pause = retryPause
			if kind == platform.KindServers {
				ticker.Sleep(ctx, gatherTime-time.Since(began))
			}
			continue
		}
		f.log.Debug().Err(err).Str("kind", kind).Msg("store not followed")
		if !ticker.Sleep(ctx, jitter(f.contacts.patience(time.Now(), pause))) {
			return
		}
		pause = min(2*pause, retryMost)
	}
}

// due says whether the kind is to be read or watched now. While the store can't be reached the configuration alone is tried for.
func (f *Follower) due(kind string) bool {
	now := time.Now()
	if _, known := f.view.Part(kind); !known {
		return f.begins(now)
	}
	if kind == platform.KindConfiguration {
		return f.contacts.chosen(now, f.place(now), followers)
	}
	return !f.contacts.failing() && f.contacts.chosen(now, f.place(now), otherFollowers)
}

// begins says whether a fresh entry is to read the store itself.
//
// Guard: all entries of a deployment start within moments; each would read and watch everything, which is a good part of all calls of some
// dozens of entries. So a fresh entry waits for what the others tell it, and the first in order read for all.
func (f *Follower) begins(now time.Time) bool {
	waited := now.Sub(f.started)
	return waited >= beginMost || roster.Settled(waited, f.members.Alive(now)) && f.place(now) < standbys
}

// fetchFromPredecessor fetches a kind that a fresh entry lacks from a random predecessor among those with most cores: smaller entries answer
// late while all entries start at once.
func (f *Follower) fetchFromPredecessor(ctx context.Context, kind string) {
	now := time.Now()
	members := f.members.Alive(now)
	predecessors := roster.Predecessors(f.members.Self().HostID, members)
	if _, known := f.view.Part(kind); known || len(predecessors) == 0 || !roster.Settled(now.Sub(f.started), members) {
		return
	}
	sources := roster.WithMostCores(predecessors)
	f.fetch(ctx, sources[rand.IntN(len(sources))].Address, kind)
}

// place is how many living entries come before this one in the order in which they follow the store.
func (f *Follower) place(now time.Time) int {
	return len(roster.Predecessors(f.members.Self().HostID, f.members.Alive(now)))
}

// step reads a kind, or watches it from the newest revision at which nothing is known to have changed. It returns that revision; it is
// not one of the view, since other entries would ask for what is new in it.
func (f *Follower) step(ctx context.Context, kind string, watched product.Version) (product.Version, error) {
	part, known := f.view.Part(kind)
	if !known {
		return f.list(ctx, kind)
	}
	watched = max(watched, product.Version(part.Revision))
	watching, done := f.watches.begin(ctx, kind)
	changes, err := f.source.Watch(watching, kind, watched, watchWait)
	if restarted := done(); restarted && err != nil {
		return watched, errRestarted
	}
	if errors.Is(err, platform.ErrCompacted) {
		return f.list(ctx, kind)
	}
	if err != nil {
		return watched, err
	}
	if len(changes.Changes) == 0 {
		return max(watched, changes.Revision), nil
	}
	f.view.Offer(part.after(changes))
	return changes.Revision, nil
}

func (f *Follower) list(ctx context.Context, kind string) (product.Version, error) {
	objects, revision, err := f.source.List(ctx, kind)
	if err != nil {
		return 0, err
	}
	f.view.Offer(newPart(kind, uint64(revision), objects))
	return revision, nil
}

func jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.7 + 0.6*rand.Float64()))
}
