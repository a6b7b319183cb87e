package gossip

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/roster"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

const (
	// tickInterval is the interval between two checks for due calls and silent members.
	tickInterval = roster.Interval / 4
	// ConnectionIdleTimeout is how long an entry keeps an unused connection to another one. It is longer than the longest interval between two
	// calls to the holder of the duties, which thus keep their connections. The calls that repair the lists reach a different entry each time;
	// each connection that they left behind costs heartbeats every second, three goroutines and 32 KB at both ends.
	ConnectionIdleTimeout = 4 * time.Second
	// callTimeout limits a call that exchanges heartbeats. The latency between availability zones is some milliseconds.
	callTimeout = time.Second
)

// Recipient is the recipient of a heartbeat.
type Recipient struct {
	Member Member
	// KeepsCopies reports whether the recipient keeps copies of this entry's counts.
	KeepsCopies bool
	// ListDiffers reports whether the recipient's list of entries differs from this entry's.
	ListDiffers bool
}

// Handler provides and processes the content of heartbeats.
type Handler interface {
	// Heartbeat returns the content of a heartbeat. Gossip adds what concerns the list of entries.
	Heartbeat(now time.Time, to Recipient) Heartbeat
	// HeartbeatReceived processes a heartbeat from another entry.
	HeartbeatReceived(now time.Time, heartbeat Heartbeat)
	// HeartbeatDelivered is called after the recipient has answered the heartbeat.
	HeartbeatDelivered(to Member, heartbeat Heartbeat)
	// MemberLeaving is called when an entry starts to leave.
	MemberLeaving(now time.Time, member Member)
	// MemberGone is called when an entry has become silent or was restarted. The member is its former run; it is marked as leaving if the
	// entry left and was not restarted.
	MemberGone(now time.Time, member Member)
	// DirectRecipients returns the host IDs of the entries that must receive heartbeats directly from this entry.
	DirectRecipients() []string
}

// Gossip maintains the list of the other entries and exchanges heartbeats with them. It is safe for concurrent use.
type Gossip struct {
	client  *peer.Client
	handler Handler
	log     zerolog.Logger
	wg      conc.WaitGroup

	mu     sync.Mutex
	roster *roster.Roster
}

// New starts to exchange heartbeats until ctx ends. It registers a method, so it must be called before the registry's server starts.
func New(ctx context.Context, self Member, client *peer.Client, registry *peer.Registry, handler Handler, log zerolog.Logger) *Gossip {
	g := &Gossip{client: client, handler: handler, log: log, roster: roster.New(time.Now(), self)}
	peer.Handle(registry, MethodHeartbeat, func(_ context.Context, heartbeat Heartbeat) (Heartbeat, error) {
		now := time.Now()
		g.handleHeartbeat(now, heartbeat)
		return g.buildHeartbeat(now, heartbeat.From, false), nil
	})
	g.wg.Go(func() {
		ticker.Every(ctx, tickInterval, func(now time.Time) {
			g.sendHeartbeats(ctx, now)
			g.reportSilentMembers(now)
		})
	})
	return g
}

// Wait blocks until all goroutines have ended, which they do after the context has ended.
func (g *Gossip) Wait() { g.wg.Wait() }

// withRoster calls f with the roster while holding the lock.
func (g *Gossip) withRoster(f func(r *roster.Roster)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.roster)
}

// Meet adds addresses at which other entries may be reachable.
func (g *Gossip) Meet(addresses ...netip.AddrPort) {
	g.withRoster(func(r *roster.Roster) { r.AddAddresses(time.Now(), addresses...) })
}

// Self returns this entry as a member.
func (g *Gossip) Self() (self Member) {
	g.withRoster(func(r *roster.Roster) { self = r.Self() })
	return self
}

// Leave marks this entry as leaving and announces it to the others.
func (g *Gossip) Leave() {
	g.withRoster(func(r *roster.Roster) { r.Leave(time.Now()) })
}

// Alive returns the other entries that are alive, including leaving ones, sorted by host ID. The caller must not change the slice, which is
// shared: several parts ask for it many times a second, and hundreds of members are too many to copy each time.
func (g *Gossip) Alive(time.Time) (alive []Member) {
	g.withRoster(func(r *roster.Roster) { alive = r.Alive() })
	return alive
}

// Incarnations returns the incarnations of the other entries that are alive. The caller must not change the map, which is shared.
func (g *Gossip) Incarnations() (alive map[uint64]bool) {
	g.withRoster(func(r *roster.Roster) { alive = r.Incarnations() })
	return alive
}

// Find returns the entry with the host ID if it is alive.
func (g *Gossip) Find(_ time.Time, hostID string) (member Member, ok bool) {
	g.withRoster(func(r *roster.Roster) { member, ok = r.Find(hostID) })
	return member, ok
}

// buildHeartbeat returns a heartbeat for the entry.
func (g *Gossip) buildHeartbeat(now time.Time, to Member, keepsCopies bool) Heartbeat {
	var list []roster.Update
	g.withRoster(func(r *roster.Roster) { list = r.FullListFor(now, to.Address) })
	heartbeat := g.handler.Heartbeat(now, Recipient{Member: to, KeepsCopies: keepsCopies, ListDiffers: len(list) > 0})
	heartbeat.List = list
	g.withRoster(func(r *roster.Roster) {
		heartbeat.From = r.Self()
		heartbeat.Digest = r.Digest()
		heartbeat.Updates = r.PendingUpdates(now)
	})
	return heartbeat
}

// sendHeartbeats starts a call to each entry to which a heartbeat is due.
func (g *Gossip) sendHeartbeats(ctx context.Context, now time.Time) {
	direct := g.directAddresses()
	var calls []roster.DueCall
	g.withRoster(func(r *roster.Roster) { calls = r.DueCalls(now, direct...) })
	for _, call := range calls {
		g.wg.Go(func() { g.exchangeHeartbeats(ctx, call) })
	}
}

// directAddresses returns the addresses of the entries that must receive heartbeats directly from this entry.
func (g *Gossip) directAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, host := range g.handler.DirectRecipients() {
		if member, ok := g.Find(time.Now(), host); ok {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

func (g *Gossip) exchangeHeartbeats(ctx context.Context, call roster.DueCall) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	heartbeat := g.buildHeartbeat(time.Now(), call.Member, call.KeepsCopies)
	answer, err := peer.Call[Heartbeat, Heartbeat](ctx, g.client, call.Address, MethodHeartbeat, heartbeat)
	g.withRoster(func(r *roster.Roster) { r.CallEnded(call.Address) })
	if err != nil {
		// An entry that doesn't answer is considered silent after some time.
		return
	}
	g.handler.HeartbeatDelivered(answer.From, heartbeat)
	g.handleHeartbeat(time.Now(), answer)
}

// handleHeartbeat processes a heartbeat that was received as a call or as an answer. It applies the updates first, because the roster
// passes on only updates that are new to it, and it would know the same changes already from the list or from the sender itself.
func (g *Gossip) handleHeartbeat(now time.Time, heartbeat Heartbeat) {
	var changes []roster.Change
	g.withRoster(func(r *roster.Roster) {
		changes = append(changes, r.ApplyUpdates(now, heartbeat.Updates)...)
		changes = append(changes, r.MergeList(now, heartbeat.List)...)
		if change, changed := r.RecordContact(now, heartbeat.From, heartbeat.Digest); changed {
			changes = append(changes, change)
		}
	})
	for _, change := range changes {
		g.reportChange(now, change)
	}
	g.handler.HeartbeatReceived(now, heartbeat)
}

// reportChange logs a change, and calls the handler if the previously known run of an entry ended, became silent, or starts to leave.
func (g *Gossip) reportChange(now time.Time, change roster.Change) {
	switch {
	case change.Silent:
		g.log.Warn().Str("dependency", "entry").Str("entry", change.Current.HostID).Msg("lost")
	case change.Current.Leaving:
		g.log.Info().Str("dependency", "entry").Str("entry", change.Current.HostID).Msg("leaving")
	default:
		g.log.Info().Str("dependency", "entry").Str("entry", change.Current.HostID).Msg("regained")
	}
	switch {
	case change.StartsLeaving():
		g.handler.MemberLeaving(now, change.Current)
	case change.EndsPrevious():
		previous := change.Previous
		previous.Leaving = change.Current.Leaving
		g.handler.MemberGone(now, previous)
	}
}

// reportSilentMembers reports the entries that have become silent.
func (g *Gossip) reportSilentMembers(now time.Time) {
	var silent []Member
	g.withRoster(func(r *roster.Roster) { silent = r.DetectFailures(now) })
	for _, member := range silent {
		g.reportChange(now, roster.Change{Previous: member, Current: member, Silent: true})
	}
}

// State returns the other entries for the debug state.
func (g *Gossip) State() any { return g.Alive(time.Now()) }
