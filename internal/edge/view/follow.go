package view

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
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

// MethodCollection requests the changes of one kind of object from another entry.
const MethodCollection peer.Method = "view.part"

const (
	// watchTimeout is how long a watch waits for a change. Watches are billed per call. The store allows 30 s, but keeps its
	// history for 20 s at most, and a watch from an older revision ends in an error and has to be replaced by a list.
	watchTimeout = 8 * time.Second
	// retryPause is the mean pause after a failed call, doubled after each further failure up to maxRetryPause: in an outage
	// the three watches of an entry together make about four calls a second, and a store that recovers is noticed within a
	// second.
	retryPause    = 200 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
	// fetchTimeout bounds the fetch of a collection from another entry.
	fetchTimeout = time.Second
	// minServerWatchInterval is the minimum time between two watches of the server list. Watches are billed per call and end
	// with the first change, and a new weight version changes the records of a dozen engines within a second. The delay is
	// acceptable because a server that is leaving may receive requests for two more seconds.
	minServerWatchInterval = 400 * time.Millisecond
	// maxInitialWait is how long a starting entry that is not among the first in follow order waits for data from other
	// entries before it reads the store itself.
	maxInitialWait = 2 * time.Second
)

var (
	// promptKinds are the kinds whose changes must be in force within two seconds even if a follower fails.
	promptKinds = []string{platform.KindConfiguration, platform.KindEvacuations}
	// probedKinds are the kinds whose watches are checked for changes that they don't report. A server that leaves must be known within
	// seconds, too. New weight versions only cost time if they are known late.
	probedKinds = append([]string{platform.KindServers}, promptKinds...)
)

// Source is the part of the store's interface that a Follower uses.
type Source interface {
	List(ctx context.Context, kind string) ([]product.Object, product.Version, error)
	Watch(ctx context.Context, kind string, after product.Version, wait time.Duration) (platform.Changes, error)
	// Changed reports, at low cost, whether an object of the kind may have changed after the revision. A change of the last seconds may be
	// missing. Like Watch, it uses only this entry's own path to the store.
	Changed(ctx context.Context, kind string, after product.Version) (bool, error)
}

// Members lists the entries of the deployment.
type Members interface {
	Self() gossip.Member
	// Find returns the entry with the host ID if it is alive.
	Find(now time.Time, hostID string) (gossip.Member, bool)
	// Alive returns the other entries that gossip reports as live. The caller must not change the slice.
	Alive(now time.Time) []gossip.Member
}

// Follower keeps a view up to date from the store and from other entries.
type Follower struct {
	view     *View
	source   Source
	client   *peer.Client
	members  Members
	contacts *contactTracker
	log      zerolog.Logger
	work     conc.WaitGroup
	started  time.Time
	watches  watchSet
	fetches  fetchQueue
	// needsWeights reports whether this entry uses the weight versions of servers.
	needsWeights func() bool
}

// FollowerOption changes a new Follower.
type FollowerOption func(*Follower)

// WithWeightsIf makes the follower keep the weight versions of servers up to date only while needed returns true, or while it is among the
// first to follow the store. Without it they are always kept up to date.
func WithWeightsIf(needed func() bool) FollowerOption {
	return func(f *Follower) { f.needsWeights = needed }
}

// NewFollower updates the view until ctx ends, and serves the view's collections to other entries.
func NewFollower(ctx context.Context, members Members, view *View, source Source, client *peer.Client,
	registry *peer.Registry, log zerolog.Logger, options ...FollowerOption) *Follower {
	f := &Follower{
		view:     view,
		source:   source,
		client:   client,
		members:  members,
		contacts: newContactTracker(members.Self().HostID),
		log:      log,
		started:  time.Now(),

		needsWeights: func() bool { return true },
	}
	for _, option := range options {
		option(f)
	}
	peer.Handle(registry, MethodCollection, func(_ context.Context, request CollectionRequest) (CollectionUpdate, error) {
		collection, _ := view.Collection(request.Kind)
		return collection.changesSince(request.Since), nil
	})
	for _, kind := range Kinds {
		f.work.Go(func() { f.follow(ctx, kind) })
	}
	f.work.Go(func() { f.probe(ctx) })
	f.work.Go(func() { f.followWeights(ctx) })
	return f
}

// Wait returns once all goroutines have ended, after the context has.
func (f *Follower) Wait() { f.work.Wait() }

// FetchNewer fetches, in the background, each kind of which another entry has a newer revision.
func (f *Follower) FetchNewer(ctx context.Context, from gossip.Member, revisions map[string]uint64) {
	known := f.view.Revisions()
	for _, kind := range exchangedKinds {
		if revisions[kind] > known[kind] && (kind != kindWeights || f.usesWeights(time.Now())) {
			f.fetchOffered(ctx, kind, offer{from: from.Address, revision: revisions[kind]})
		}
	}
}

// fetchOffered fetches a kind in the background, unless a fetch of the kind is under way, and then what was offered meanwhile.
func (f *Follower) fetchOffered(ctx context.Context, kind string, o offer) {
	if !f.fetches.begin(time.Now(), kind, o) {
		return
	}
	f.work.Go(func() {
		for more := true; more; {
			f.fetch(ctx, o.from, kind)
			collection, _ := f.view.Collection(kind)
			o, more = f.fetches.end(time.Now(), kind, collection.Revision)
		}
	})
}

// fetch updates one kind from another entry.
func (f *Follower) fetch(ctx context.Context, from netip.AddrPort, kind string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	collection, _ := f.view.Collection(kind)
	update, err := peer.Call[CollectionRequest, CollectionUpdate](ctx, f.client, from, MethodCollection,
		CollectionRequest{Kind: kind, Since: collection.Revision})
	if err != nil {
		// The next gossip message announces the newer revision again.
		f.log.Debug().Err(err).Str("kind", kind).Stringer("entry", from).Msg("failed to fetch changes from entry")
		return
	}
	if update.Kind == kind {
		f.view.ApplyIfNewer(collection.withUpdate(update))
	}
}

// Contacts returns the time in milliseconds since each entry last reached the store, to be sent to other entries.
func (f *Follower) Contacts(now time.Time) map[string]int64 { return f.contacts.ages(now) }

// Outage reports whether no entry has reached the store recently, so that no call to it can be expected to succeed.
func (f *Follower) Outage(now time.Time) bool { return f.contacts.outage(now) }

// ReachesStore reports whether the host is known to have reached the store recently.
func (f *Follower) ReachesStore(now time.Time, host string) bool {
	return f.contacts.reachesStore(now, host)
}

// MergeContacts adds the contacts that another entry sent, as ages in milliseconds.
func (f *Follower) MergeContacts(now time.Time, ages map[string]int64) { f.contacts.merge(now, ages) }

// probe checks regularly whether the store is down, and while this entry follows the store, that it reaches it and that no watch hides a
// change. A watch on a connection that a network partition cut stays silent for seconds, and all entries that rely on it would keep an old
// configuration meanwhile.
func (f *Follower) probe(ctx context.Context) {
	followed, knownFailures := false, 0
	for ticker.Sleep(ctx, probeInterval) {
		now := time.Now()
		f.view.UpdateOutage(now, f.contacts.outage(now))
		following := f.contacts.shouldFollow(now, f.position(now), configurationFollowers)
		if following {
			f.probeStore(ctx, now)
		}
		failures, failing := f.contacts.failureState()
		if following && !failing && (!followed || failures != knownFailures) {
			f.logRestart(f.watches.restartAll(now))
			knownFailures = failures
		}
		if following != followed {
			f.log.Info().Bool("following", following).Int("position", f.position(now)).Interface("contactAges", f.contacts.ages(now)).
				Msg("follower of the store changed")
		}
		followed = following
	}
}

// logRestart logs the watches that were restarted, with how long each had been waiting.
func (f *Follower) logRestart(waited map[string]time.Duration) {
	for _, kind := range slices.Sorted(maps.Keys(waited)) {
		collection, _ := f.view.Collection(kind)
		f.log.Info().Str("kind", kind).Uint64("revision", collection.Revision).Dur("waited", waited[kind]).Msg("watch restarted")
	}
}

// probeStore asks for changes that a watch hasn't reported, if it has been waiting for a while, and whether the store can be reached, if this
// entry has not reached it lately.
func (f *Follower) probeStore(ctx context.Context, now time.Time) {
	for _, kind := range probedKinds {
		watch, waiting := f.watches.waiting(kind)
		stale := kind == platform.KindConfiguration && f.contacts.sinceLastContact(now) >= probeInterval
		if !stale && (!waiting || now.Sub(watch.started) < probeInterval) {
			continue
		}
		collection, _ := f.view.Collection(kind)
		after := product.Version(collection.Revision)
		if waiting {
			after = watch.after
		}
		changed, err := f.checkChanged(ctx, kind, after)
		if err != nil {
			return
		}
		if changed && waiting && f.watches.restart(kind, watch) {
			f.logRestart(map[string]time.Duration{kind: time.Since(watch.started)})
		}
	}
}

func (f *Follower) checkChanged(ctx context.Context, kind string, after product.Version) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	changed, err := f.source.Changed(ctx, kind, after)
	f.contacts.record(time.Now(), err)
	return changed, err
}

// follow reads a kind and then watches it whenever this entry is one of those that follow the store, until ctx ends.
func (f *Follower) follow(ctx context.Context, kind string) {
	pause := retryPause
	var watched product.Version
	for ctx.Err() == nil {
		if !f.shouldReadOrWatch(kind) {
			f.fetchFromPredecessor(ctx, kind)
			ticker.Sleep(ctx, idlePollInterval)
			continue
		}
		started := time.Now()
		var err error
		watched, err = f.readOrWatch(ctx, kind, watched)
		if errors.Is(err, errWatchRestarted) {
			continue
		}
		if err == nil {
			pause = retryPause
			if kind == platform.KindServers {
				ticker.Sleep(ctx, minServerWatchInterval-time.Since(started))
			}
			continue
		}
		f.contacts.record(time.Now(), err)
		f.log.Debug().Err(err).Str("kind", kind).Msg("failed to read or watch the store")
		if !ticker.Sleep(ctx, jitter(f.contacts.retryDelay(time.Now(), pause))) {
			return
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// shouldReadOrWatch reports whether this entry should read or watch the kind now. While the store cannot be reached, only the
// configuration is tried.
func (f *Follower) shouldReadOrWatch(kind string) bool {
	now := time.Now()
	if _, known := f.view.Collection(kind); !known {
		return f.shouldReadInitially(now)
	}
	wanted := otherFollowers
	if slices.Contains(promptKinds, kind) {
		wanted = configurationFollowers
	}
	mayTry := kind == platform.KindConfiguration || !f.contacts.failing()
	return mayTry && f.contacts.shouldFollow(now, f.position(now), wanted)
}

// shouldReadInitially reports whether an entry that lacks a kind should read it from the store itself.
//
// Guards against all entries of a deployment reading and watching everything when they start at the same time, which with some
// dozens of entries is a considerable share of all store calls. A starting entry waits for data from others, and only the
// first in follow order read the store.
func (f *Follower) shouldReadInitially(now time.Time) bool {
	running := now.Sub(f.started)
	return running >= maxInitialWait || roster.Settled(running, f.members.Alive(now)) && f.position(now) < standbys
}

// fetchFromPredecessor fetches a kind that this entry lacks from a random predecessor among those with the most cores: smaller
// entries respond slowly while all entries start at once.
func (f *Follower) fetchFromPredecessor(ctx context.Context, kind string) {
	if _, known := f.view.Collection(kind); known {
		return
	}
	now := time.Now()
	members := f.members.Alive(now)
	predecessors := roster.Predecessors(f.members.Self().HostID, members)
	if len(predecessors) == 0 || !roster.Settled(now.Sub(f.started), members) {
		return
	}
	sources := roster.WithMostCores(predecessors)
	f.fetch(ctx, sources[rand.IntN(len(sources))].Address, kind)
}

// position returns the number of live entries that precede this one in follow order.
func (f *Follower) position(now time.Time) int {
	return roster.Position(f.members.Self().HostID, f.members.Alive(now))
}

// readOrWatch reads a kind, or watches it from the newest revision known to be unchanged, and returns the revision reached.
// That revision is not stored in the view, since other entries would then ask for changes that do not exist.
func (f *Follower) readOrWatch(ctx context.Context, kind string, watched product.Version) (product.Version, error) {
	collection, known := f.view.Collection(kind)
	if !known {
		return f.list(ctx, kind)
	}
	complete := collection.Revision
	if kind == platform.KindServers {
		if complete, known = f.view.CompleteServersRevision(); !known {
			return f.list(ctx, kind)
		}
	}
	watched = max(watched, product.Version(complete))
	watchCtx, done := f.watches.start(ctx, kind, watched)
	changes, err := f.source.Watch(watchCtx, kind, watched, watchTimeout)
	if restarted := done(); restarted && err != nil {
		return watched, errWatchRestarted
	}
	if err != nil && !errors.Is(err, platform.ErrCompacted) {
		return watched, err
	}
	f.contacts.record(time.Now(), nil)
	if err != nil {
		return f.list(ctx, kind)
	}
	if len(changes.Changes) == 0 {
		return max(watched, changes.Revision), nil
	}
	if kind == platform.KindServers {
		f.view.ApplyServerChanges(time.Now(), changes)
	} else {
		f.view.ApplyIfNewer(collection.withChanges(changes))
	}
	return changes.Revision, nil
}

// list reads all objects of a kind from the store and returns their revision. Its answer doesn't count as a contact with the store, because
// it may have come through another entry.
func (f *Follower) list(ctx context.Context, kind string) (product.Version, error) {
	objects, revision, err := f.source.List(ctx, kind)
	if err != nil {
		return 0, err
	}
	if collection := newCollection(kind, uint64(revision), objects); kind == platform.KindServers {
		f.view.ApplyServerList(collection)
	} else {
		f.view.ApplyIfNewer(collection)
	}
	return revision, nil
}

// jitter returns a random duration within 30 % of mean.
func jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.7 + 0.6*rand.Float64()))
}
