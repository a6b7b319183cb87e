package process

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/edge/store"
	"github.com/oleandershelf/oleandershelf/platform"
)

// lateRelay stands for the relay until the list of entries, which needs the store, is there.
type lateRelay struct{ relay atomic.Pointer[store.Relay] }

func (l *lateRelay) set(relay *store.Relay) { l.relay.Store(relay) }

// Send passes the call on to the relay.
func (l *lateRelay) Send(ctx context.Context, call platform.Call) (platform.Reply, error) {
	if relay := l.relay.Load(); relay != nil {
		return relay.Send(ctx, call)
	}
	return platform.Reply{}, product.ErrUnavailable
}

// lateMembers stands for the list of entries until it is there.
type lateMembers struct {
	self   gossip.Member
	gossip atomic.Pointer[gossip.Gossip]
}

func (l *lateMembers) set(g *gossip.Gossip) { l.gossip.Store(g) }

// Self returns this entry.
func (l *lateMembers) Self() gossip.Member { return l.self }

// Find returns the entry of that name if it is heard of.
func (l *lateMembers) Find(now time.Time, hostID string) (gossip.Member, bool) {
	if g := l.gossip.Load(); g != nil {
		return g.Find(now, hostID)
	}
	return gossip.Member{}, false
}

// Alive returns the other entries that are heard of.
func (l *lateMembers) Alive(now time.Time) []gossip.Member {
	if g := l.gossip.Load(); g != nil {
		return g.Alive(now)
	}
	return nil
}
