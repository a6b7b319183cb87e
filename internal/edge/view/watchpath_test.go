package view_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/edge/store"
	"github.com/oleandershelf/oleandershelf/internal/edge/view"
	"github.com/oleandershelf/oleandershelf/platform"
)

// storeServer answers the calls of one entry like the platform's store. It holds one object of each kind, whose revision is that of the
// store.
type storeServer struct {
	mu   sync.Mutex
	down bool
	// losesWatches is set while watches that arrive are never answered; other calls are.
	losesWatches bool
	revision     int
	changed      chan struct{}
}

func newStoreServer() *storeServer { return &storeServer{revision: 1, changed: make(chan struct{})} }

func (s *storeServer) state() (down bool, revision int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down, s.revision, s.changed
}

// set changes the store. A new revision is a new version of the configuration.
func (s *storeServer) set(down bool, revision int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.revision = down, revision
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *storeServer) loseWatches(lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losesWatches = lose
}

func (s *storeServer) isLosingWatches() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.losesWatches
}

// Send answers a call. A call that arrives while the store is down is never answered.
func (s *storeServer) Send(ctx context.Context, call platform.Call) (platform.Reply, error) {
	if down, _, _ := s.state(); down {
		<-ctx.Done()
		return platform.Reply{}, errors.Wrap(product.ErrOutcomeUnknown, ctx.Err().Error())
	}
	after, watch := watchedRevision(call)
	if !watch {
		_, revision, _ := s.state()
		return reply(`{"items":[%s],"current_rev":%d}`, object(revision), revision), nil
	}
	wait := time.NewTimer(call.Wait)
	defer wait.Stop()
	if s.isLosingWatches() && call.Wait > 0 {
		<-ctx.Done()
		return platform.Reply{}, errors.Wrap(product.ErrOutcomeUnknown, ctx.Err().Error())
	}
	for {
		_, revision, changed := s.state()
		if revision > after {
			return reply(`{"events":[{"object":%s}],"current_rev":%d}`, object(revision), revision), nil
		}
		select {
		case <-changed:
		case <-wait.C:
			return reply(`{"events":[],"current_rev":%d}`, revision), nil
		case <-ctx.Done():
			return platform.Reply{}, errors.Wrap(product.ErrOutcomeUnknown, ctx.Err().Error())
		}
	}
}

// watchedRevision returns the revision that a watch starts from; false if the call is none.
func watchedRevision(call platform.Call) (int, bool) {
	_, query, _ := strings.Cut(call.Target, "?")
	for parameter := range strings.SplitSeq(query, "&") {
		if value, ok := strings.CutPrefix(parameter, "watch="); ok {
			revision, err := strconv.Atoi(value)
			return revision, err == nil
		}
	}
	return 0, false
}

func object(revision int) string {
	return fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d},"spec":{"version":%d}}`, platform.NameConfiguration, revision, revision)
}

func reply(format string, arguments ...any) platform.Reply {
	return platform.Reply{Status: http.StatusOK, Body: json.RawMessage(fmt.Sprintf(format, arguments...))}
}

// hangingRelay is another entry whose own path to the store was cut after it accepted calls of others: they are never answered.
type hangingRelay struct{}

func (hangingRelay) Send(ctx context.Context, call platform.Call) (platform.Reply, error) {
	if call.Wait == 0 {
		return platform.Reply{}, product.ErrUnavailable
	}
	<-ctx.Done()
	return platform.Reply{}, errors.Wrap(product.ErrOutcomeUnknown, ctx.Err().Error())
}

// answeringRelay is another entry that reaches the store.
type answeringRelay struct{ server *storeServer }

func (r answeringRelay) Send(ctx context.Context, call platform.Call) (platform.Reply, error) {
	return r.server.Send(ctx, call)
}

// oneMember is the list of entries of a deployment with one entry.
type oneMember struct{}

func (oneMember) Self() gossip.Member                               { return gossip.Member{HostID: "entry-1"} }
func (oneMember) Find(time.Time, string) (_ gossip.Member, ok bool) { return }
func (oneMember) Alive(time.Time) []gossip.Member                   { return nil }

// startFollower starts the only entry of a deployment, which calls the store directly and through the relay.
func startFollower(t *testing.T, direct *storeServer, relay store.Transport) (*view.Follower, *view.View, *store.Store) {
	t.Helper()
	source := store.New(direct, relay, nil, zerolog.Nop())
	v := view.New(zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	f := view.NewFollower(ctx, oneMember{}, v, source, nil, peer.NewRegistry(), zerolog.Nop())
	t.Cleanup(func() {
		cancel()
		f.Wait()
	})
	return f, v, source
}

// awaitRevision waits until the kind is known as of the revision, which is also the version of the configuration that must be in force.
func awaitRevision(t *testing.T, v *view.View, kind string, revision uint64, limit time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(limit); ; time.Sleep(5 * time.Millisecond) {
		known := v.Revisions()[kind]
		if table := v.Snapshot().Table; kind == platform.KindConfiguration && table != nil {
			known = table.Version
		}
		if known >= revision {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: revision %d is not known %v after it was acknowledged", kind, revision, limit)
		}
	}
}

// Guards against requests handled by an old configuration because the watch of a follower hangs at another entry, while the follower
// proves by direct probes that it reaches the store.
func TestConfigurationIsFollowedWhileWatchesThroughOtherEntriesHang(t *testing.T) {
	server := newStoreServer()
	_, v, source := startFollower(t, server, hangingRelay{})
	awaitRevision(t, v, platform.KindConfiguration, 1, 3*time.Second)

	server.set(true, 1)
	if _, err := source.Get(t.Context(), platform.KindConfiguration, platform.NameConfiguration); err == nil {
		t.Fatal("a call to a store that is down succeeded")
	}
	server.set(false, 1)
	// Within this time the entry has reached the store again, and its direct calls still count as failing.
	time.Sleep(time.Second)
	server.set(false, 2)
	awaitRevision(t, v, platform.KindConfiguration, 2, 2*time.Second)
}

// Guards against an entry that counts as a follower of the store although only its reads through another entry are answered. Others would
// stop to follow the store, and their configuration would be out of date.
func TestReadsThroughOtherEntriesDoNotMakeAFollower(t *testing.T) {
	unreachable, reachable := newStoreServer(), newStoreServer()
	unreachable.set(true, 1)
	f, v, _ := startFollower(t, unreachable, answeringRelay{reachable})
	awaitRevision(t, v, platform.KindConfiguration, 1, 5*time.Second)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if now := time.Now(); f.ReachesStore(now, oneMember{}.Self().HostID) {
			t.Fatalf("the entry counts as reaching the store, last contacts in ms: %v", f.Contacts(now))
		}
	}
}

// Guards against requests that are handled by an old configuration, or sent to a server that leaves, because a watch hangs for no reason that
// other calls show.
func TestChangesAreFollowedAfterAWatchWasLost(t *testing.T) {
	for _, kind := range []string{platform.KindConfiguration, platform.KindServers} {
		t.Run(kind, func(t *testing.T) {
			server := newStoreServer()
			_, v, _ := startFollower(t, server, hangingRelay{})
			awaitRevision(t, v, kind, 1, 3*time.Second)
			time.Sleep(time.Second)
			server.loseWatches(true)
			// The change ends the watch that is waiting, and the next one is lost.
			server.set(false, 2)
			awaitRevision(t, v, kind, 2, 2*time.Second)
			time.Sleep(time.Second)
			server.loseWatches(false)
			server.set(false, 3)
			awaitRevision(t, v, kind, 3, 2*time.Second)
		})
	}
}
