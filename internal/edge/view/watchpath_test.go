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

// awaitVersion waits until the version of the configuration is in force.
func awaitVersion(t *testing.T, v *view.View, version uint64, limit time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(limit); ; time.Sleep(5 * time.Millisecond) {
		if table := v.Snapshot().Table; table != nil && table.Version >= version {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("configuration %d is not in force %v after it was acknowledged", version, limit)
		}
	}
}

// Guards against requests handled by an old configuration because the watch of a follower hangs at another entry, while the follower
// proves by direct probes that it reaches the store.
func TestConfigurationIsFollowedWhileWatchesThroughOtherEntriesHang(t *testing.T) {
	server := newStoreServer()
	source := store.New(server, hangingRelay{}, nil, zerolog.Nop())
	v := view.New(zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	f := view.NewFollower(ctx, oneMember{}, v, source, nil, peer.NewRegistry(), zerolog.Nop())
	defer f.Wait()
	defer cancel()
	awaitVersion(t, v, 1, 3*time.Second)

	server.set(true, 1)
	if _, err := source.Get(ctx, platform.KindConfiguration, platform.NameConfiguration); err == nil {
		t.Fatal("a call to a store that is down succeeded")
	}
	server.set(false, 1)
	// Within this time the entry has reached the store again, and its direct calls still count as failing.
	time.Sleep(time.Second)
	server.set(false, 2)
	awaitVersion(t, v, 2, 2*time.Second)
}

// Guards against an entry that counts as a follower of the store although only its reads through another entry are answered. Others would
// stop to follow the store, and their configuration would be out of date.
func TestReadsThroughOtherEntriesDoNotMakeAFollower(t *testing.T) {
	unreachable, reachable := newStoreServer(), newStoreServer()
	unreachable.set(true, 1)
	source := store.New(unreachable, answeringRelay{reachable}, nil, zerolog.Nop())
	v := view.New(zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	f := view.NewFollower(ctx, oneMember{}, v, source, nil, peer.NewRegistry(), zerolog.Nop())
	defer f.Wait()
	defer cancel()
	awaitVersion(t, v, 1, 5*time.Second)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if now := time.Now(); f.ReachesStore(now, oneMember{}.Self().HostID) {
			t.Fatalf("the entry counts as reaching the store, last contacts in ms: %v", f.Contacts(now))
		}
	}
}

// Guards against requests handled by an old configuration because a watch hangs for no reason that other calls show.
func TestConfigurationIsFollowedAfterAWatchWasLost(t *testing.T) {
	server := newStoreServer()
	source := store.New(server, hangingRelay{}, nil, zerolog.Nop())
	v := view.New(zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	f := view.NewFollower(ctx, oneMember{}, v, source, nil, peer.NewRegistry(), zerolog.Nop())
	defer f.Wait()
	defer cancel()
	awaitVersion(t, v, 1, 3*time.Second)
	time.Sleep(time.Second)
	server.loseWatches(true)
	// The change ends the watch that is waiting, and the next one is lost.
	server.set(false, 2)
	awaitVersion(t, v, 2, 2*time.Second)
	time.Sleep(500 * time.Millisecond)
	server.loseWatches(false)
	server.set(false, 3)
	awaitVersion(t, v, 3, 2*time.Second)
}

// Guards against requests sent to servers that leave, because the watch of the servers hangs.
func TestServersAreFollowedAfterAWatchWasLost(t *testing.T) {
	server := newStoreServer()
	source := store.New(server, hangingRelay{}, nil, zerolog.Nop())
	v := view.New(zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	f := view.NewFollower(ctx, oneMember{}, v, source, nil, peer.NewRegistry(), zerolog.Nop())
	defer f.Wait()
	defer cancel()
	awaitServersRevision(t, v, 1, 3*time.Second)
	time.Sleep(time.Second)
	server.loseWatches(true)
	// The change ends the watch that is waiting, and the next one is lost.
	server.set(false, 2)
	awaitServersRevision(t, v, 2, 2*time.Second)
	time.Sleep(time.Second)
	server.loseWatches(false)
	server.set(false, 3)
	awaitServersRevision(t, v, 3, 2*time.Second)
}

// awaitServersRevision waits until the servers are known as of the revision.
func awaitServersRevision(t *testing.T, v *view.View, revision uint64, limit time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(limit); v.Revisions()[platform.KindServers] < revision; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the servers of revision %d are not known after %v", revision, limit)
		}
	}
}
