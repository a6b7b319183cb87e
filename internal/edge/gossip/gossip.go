package gossip

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

const (
	// Interval is the time between two beats to the same entry. Both sides learn from each beat, so that each hears of
	// the other twice as often; a withdrawn key that one entry knows of is known everywhere within this time.
	Interval = 400 * time.Millisecond
	// AliveTime is how long a silent neighbour counts as alive: three beats and a pause of the processor may be lost.
	AliveTime = 1500 * time.Millisecond
	// neighbours is how many entries after its own in the ring of all an entry calls at each interval. It hears of as many
	// before it, and news spreads to six times as many entries at each interval: to 380 entries within four. Without a bound
	// 26 entries made 1,600 beats a second, a third of their processor time.
	neighbours = 3
	// farInterval is the time between two beats to an entry that is no neighbour, and farAliveTime how long it counts as
	// alive without one, unless a neighbour of it says that it is silent.
	farInterval  = 2 * time.Second
	farAliveTime = 5 * time.Second
	// beatTimeout bounds one beat; links between availability zones take milliseconds.
	beatTimeout = time.Second
	// slowFrom is the silence after which a neighbour is called less often, since it may be gone for good.
	slowFrom = 5 * time.Second
	// forgetTime is how long a silent entry is called at all.
	forgetTime = 2 * time.Minute
)

// Handler takes and gives what entries tell each other.
type Handler interface {
	// Beat returns what this entry tells; From and Members are filled in by the gossip.
	Beat(now time.Time) Beat
	// Heard takes in what another entry told.
	Heard(now time.Time, beat Beat)
	// Silent takes in that an entry isn't heard of any more, is leaving, or was started anew.
	Silent(now time.Time, member Member)
}

// known is another entry.
type known struct {
	member Member
	// heard is when the entry was heard last, called when it was called last.
	heard, called time.Time
	calling       bool
	silent        bool
}

// Gossip keeps the list of the other entries. It is safe for concurrent use.
type Gossip struct {
	client  *peer.Client
	handler Handler
	log     zerolog.Logger
	work    conc.WaitGroup

	mu   sync.Mutex
	self Member
	// others is keyed by address: an entry that starts again has the same.
	others map[netip.AddrPort]*known
}

// New starts to gossip until ctx ends. The handler for beats must be registered before the registry's server starts.
func New(ctx context.Context, self Member, client *peer.Client, registry *peer.Registry, handler Handler, log zerolog.Logger) *Gossip {
	g := &Gossip{self: self, client: client, handler: handler, log: log, others: map[netip.AddrPort]*known{}}
	peer.Handle(registry, MethodBeat, func(_ context.Context, beat Beat) (Beat, error) {
		now := time.Now()
		g.heard(now, beat)
		return g.beat(now), nil
	})
	g.work.Go(func() {
		ticker.Every(ctx, Interval/4, func(now time.Time) {
			g.callAll(ctx, now)
			g.judge(now)
		})
	})
	return g
}

// Wait returns once all goroutines have ended, after the context has.
func (g *Gossip) Wait() { g.work.Wait() }

// Meet adds addresses at which entries may be.
func (g *Gossip) Meet(addresses ...netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, address := range addresses {
		if address == g.self.Address || !address.IsValid() || g.others[address] != nil {
			continue
		}
		g.others[address] = &known{heard: time.Now(), silent: true}
	}
}

// Self returns this entry.
func (g *Gossip) Self() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self
}

// Leave tells the others from now on that this entry is leaving.
func (g *Gossip) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self.Leaving = true
}

// Alive returns the other entries that are heard of, sorted by host, leaving ones included.
func (g *Gossip) Alive(time.Time) []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	var alive []Member
	for _, other := range g.others {
		if other.alive() {
			alive = append(alive, other.member)
		}
	}
	slices.SortFunc(alive, func(a, b Member) int { return cmp.Compare(a.HostID, b.HostID) })
	return alive
}

// Find returns the entry of that name if it is heard of.
func (g *Gossip) Find(now time.Time, hostID string) (Member, bool) {
	for _, member := range g.Alive(now) {
		if member.HostID == hostID {
			return member, true
		}
	}
	return Member{}, false
}

func (k *known) alive() bool { return k.member.HostID != "" && !k.silent }

// silent returns the entries that fell silent lately.
func (g *Gossip) silent() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	var silent []Member
	for _, other := range g.others {
		if other.silent && other.member.HostID != "" {
			silent = append(silent, other.member)
		}
	}
	return silent
}

func (g *Gossip) beat(now time.Time) Beat {
	beat := g.handler.Beat(now)
	beat.From = g.Self()
	beat.Members = g.Alive(now)
	beat.Silent = g.silent()
	return beat
}

// callAll sends beats to all entries whose turn it is.
func (g *Gossip) callAll(ctx context.Context, now time.Time) {
	for _, address := range g.due(now) {
		g.work.Go(func() { g.call(ctx, address) })
	}
}

func (g *Gossip) due(now time.Time) []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	var due []netip.AddrPort
	near := g.near()
	for address, other := range g.others {
		silence := now.Sub(other.heard)
		interval := farInterval
		if near[address] && silence <= slowFrom {
			interval = Interval
		}
		if silence > forgetTime {
			delete(g.others, address)
			continue
		}
		if other.calling || now.Sub(other.called) < interval {
			continue
		}
		other.calling = true
		other.called = now
		due = append(due, address)
	}
	return due
}

// near returns the neighbours that this entry calls: those after it in the ring of all living entries. The caller holds the lock.
func (g *Gossip) near() map[netip.AddrPort]bool {
	ring := g.ring()
	at := slices.Index(ring, g.self.Address)
	near := map[netip.AddrPort]bool{}
	for i := 1; i <= neighbours && i < len(ring); i++ {
		near[ring[(at+i)%len(ring)]] = true
	}
	return near
}

// ring returns the addresses of all entries that may live, this one included, in one order for all. The order is by hash of
// the host, so that neighbours mostly stand in different availability zones and entries which follow each other in other orders by that hash
// are neighbours.
func (g *Gossip) ring() []netip.AddrPort {
	type place struct {
		address netip.AddrPort
		hash    uint64
	}
	places := []place{{g.self.Address, xxhash.Sum64String(g.self.HostID)}}
	for address, other := range g.others {
		if !other.silent || other.member.HostID == "" || time.Since(other.heard) < slowFrom {
			places = append(places, place{address, xxhash.Sum64String(other.member.HostID)})
		}
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), a.address.Compare(b.address))
	})
	ring := make([]netip.AddrPort, 0, len(places))
	for _, p := range places {
		ring = append(ring, p.address)
	}
	return ring
}

func (g *Gossip) call(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	answer, err := peer.Ask[Beat, Beat](ctx, g.client, address, MethodBeat, g.beat(time.Now()))
	g.mu.Lock()
	if other := g.others[address]; other != nil {
		other.calling = false
	}
	g.mu.Unlock()
	if err == nil {
		g.heard(time.Now(), answer)
	}
}

// heard takes in a beat, whether it came as a call or as an answer.
func (g *Gossip) heard(now time.Time, beat Beat) {
	if gone, changed := g.note(now, beat.From); changed {
		g.handler.Silent(now, gone)
	}
	for _, member := range beat.Members {
		g.Meet(member.Address)
	}
	for _, member := range g.believe(now, beat.Silent) {
		g.handler.Silent(now, member)
	}
	g.handler.Heard(now, beat)
}

// note remembers who was heard. It returns the member's former run if that run is over: the entry was started anew or is
// leaving now.
func (g *Gossip) note(now time.Time, member Member) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if member.Address == g.self.Address {
		return Member{}, false
	}
	other, ok := g.others[member.Address]
	if !ok {
		other = &known{silent: true}
		g.others[member.Address] = other
	}
	former := other.member
	other.member = member
	other.heard = now
	if other.silent {
		other.silent = false
		g.log.Info().Str("dependency", "entry").Str("entry", member.HostID).Msg("regained")
	}
	over := former.HostID != "" && (former.Incarnation != member.Incarnation || member.Leaving && !former.Leaving)
	return former, over
}

// judge tells the handler of entries that fell silent.
func (g *Gossip) judge(now time.Time) {
	for _, member := range g.fallen(now) {
		g.log.Warn().Str("dependency", "entry").Str("entry", member.HostID).Dur("silence", AliveTime).Msg("lost")
		g.handler.Silent(now, member)
	}
}

// believe marks entries as silent of which a neighbour says so and that this entry hasn't heard itself for as long.
func (g *Gossip) believe(now time.Time, silent []Member) []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	var fallen []Member
	for _, member := range silent {
		other := g.others[member.Address]
		if other == nil || other.silent || other.member.Incarnation != member.Incarnation || now.Sub(other.heard) < AliveTime {
			continue
		}
		other.silent = true
		fallen = append(fallen, other.member)
	}
	return fallen
}

func (g *Gossip) fallen(now time.Time) []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	near := g.near()
	var fallen []Member
	for address, other := range g.others {
		allowed := farAliveTime
		if near[address] {
			allowed = AliveTime
		}
		if !other.silent && now.Sub(other.heard) >= allowed {
			other.silent = true
			fallen = append(fallen, other.member)
		}
	}
	return fallen
}

// State returns the other entries for the dump.
func (g *Gossip) State() any { return g.Alive(time.Now()) }
