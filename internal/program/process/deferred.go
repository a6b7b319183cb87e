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

// deferredRelay forwards to a relay that is set later. The relay needs the list of entries, which in turn needs the store,
// which needs the relay. Until it is set, the store is unavailable through it.
type deferredRelay struct{ relay atomic.Pointer[store.Relay] }

func (d *deferredRelay) set(relay *store.Relay) { d.relay.Store(relay) }

// Send forwards the call to the relay.
func (d *deferredRelay) Send(ctx context.Context, call platform.Call) (platform.Reply, error) {
	if relay := d.relay.Load(); relay != nil {
		return relay.Send(ctx, call)
	}
	return platform.Reply{}, product.ErrUnavailable
}

// deferredMembers forwards to the list of entries, which is set later. Until then the list is empty.
type deferredMembers struct {
	self   gossip.Member
	gossip atomic.Pointer[gossip.Gossip]
}

func (d *deferredMembers) set(g *gossip.Gossip) { d.gossip.Store(g) }

// Self returns this entry.
func (d *deferredMembers) Self() gossip.Member { return d.self }

// Find returns the entry with that host ID if it is alive.
func (d *deferredMembers) Find(now time.Time, hostID string) (gossip.Member, bool) {
	if g := d.gossip.Load(); g != nil {
		return g.Find(now, hostID)
	}
	return gossip.Member{}, false
}

// Alive returns the other entries that are alive. The caller must not change the slice.
func (d *deferredMembers) Alive(now time.Time) []gossip.Member {
	if g := d.gossip.Load(); g != nil {
		return g.Alive(now)
	}
	return nil
}
