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
	// pace is how often it is looked who is to be called.
	pace = roster.Interval / 4
	// beatTimeout bounds one beat; links between availability zones take milliseconds.
	beatTimeout = time.Second
)

// To says for whom a beat is made.
type To struct {
	Member Member
	// Copies says that the entry keeps copies of this one's counts.
	Copies bool
	// Whole says that the entry's list of entries differs from this one's.
	Whole bool
}

// Handler takes and gives what entries tell each other.
type Handler interface {
	// Beat returns what this entry tells; the gossip fills in what it knows of the entries.
	Beat(now time.Time, to To) Beat
	// Heard takes in what another entry told.
	Heard(now time.Time, beat Beat)
	// Told takes in that the beat reached the entry.
	Told(to Member, beat Beat)
	// Silent takes in that an entry isn't heard of any more, is leaving, or was started anew.
	Silent(now time.Time, member Member)
	// Needed are the entries, by host, that must hear this one directly.
	Needed() []string
}

// Gossip keeps the list of the other entries. It is safe for concurrent use.
type Gossip struct {
	client  *peer.Client
	handler Handler
	log     zerolog.Logger
	work    conc.WaitGroup

	mu     sync.Mutex
	roster *roster.Roster
}

// New starts to gossip until ctx ends. The handler for beats must be registered before the registry's server starts.
func New(ctx context.Context, self Member, client *peer.Client, registry *peer.Registry, handler Handler, log zerolog.Logger) *Gossip {
	g := &Gossip{client: client, handler: handler, log: log, roster: roster.New(time.Now(), self)}
	peer.Handle(registry, MethodBeat, func(_ context.Context, beat Beat) (Beat, error) {
		now := time.Now()
		g.heard(now, beat)
		return g.beat(now, beat.From, false), nil
	})
	g.work.Go(func() {
		ticker.Every(ctx, pace, func(now time.Time) {
			g.callAll(ctx, now)
			g.judge(now)
		})
	})
	return g
}

// Wait returns once all goroutines have ended, after the context has.
func (g *Gossip) Wait() { g.work.Wait() }

// locked runs f while nobody else uses the list.
func (g *Gossip) locked(f func(r *roster.Roster)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.roster)
}

// Meet adds addresses at which entries may be.
func (g *Gossip) Meet(addresses ...netip.AddrPort) {
	g.locked(func(r *roster.Roster) { r.AddAddresses(time.Now(), addresses...) })
}

// Self returns this entry.
func (g *Gossip) Self() (self Member) {
	g.locked(func(r *roster.Roster) { self = r.Self() })
	return self
}

// Leave tells the others from now on that this entry is leaving.
func (g *Gossip) Leave() {
	g.locked(func(r *roster.Roster) { r.Leave(time.Now()) })
}

// Alive returns the other entries that are heard of, sorted by host, leaving ones included.
func (g *Gossip) Alive(time.Time) (alive []Member) {
	g.locked(func(r *roster.Roster) { alive = append(alive, r.Alive()...) })
	return alive
}

// Find returns the entry of that name if it is heard of.
func (g *Gossip) Find(_ time.Time, hostID string) (member Member, ok bool) {
	g.locked(func(r *roster.Roster) { member, ok = r.Find(hostID) })
	return member, ok
}

// beat returns a beat for an entry.
func (g *Gossip) beat(now time.Time, to Member, copies bool) Beat {
	var list []roster.Update
	g.locked(func(r *roster.Roster) { list = r.FullListFor(now, to.Address) })
	beat := g.handler.Beat(now, To{Member: to, Copies: copies, Whole: len(list) > 0})
	beat.List = list
	g.locked(func(r *roster.Roster) {
		beat.From = r.Self()
		beat.Digest = r.Digest()
		beat.News = r.PendingUpdates(now)
	})
	return beat
}

// callAll sends beats to all entries whose turn it is.
func (g *Gossip) callAll(ctx context.Context, now time.Time) {
	needed := g.needed()
	var due []roster.DueCall
	g.locked(func(r *roster.Roster) { due = r.DueCalls(now, needed...) })
	for _, each := range due {
		g.work.Go(func() { g.call(ctx, each) })
	}
}

// needed returns the addresses of the entries that must hear this one directly.
func (g *Gossip) needed() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, host := range g.handler.Needed() {
		if member, ok := g.Find(time.Now(), host); ok {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

func (g *Gossip) call(ctx context.Context, due roster.DueCall) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	beat := g.beat(time.Now(), due.Member, due.KeepsCopies)
	answer, err := peer.Ask[Beat, Beat](ctx, g.client, due.Address, MethodBeat, beat)
	g.locked(func(r *roster.Roster) { r.CallEnded(due.Address) })
	if err != nil {
		// Who doesn't answer is taken for silent after a time.
		return
	}
	g.handler.Told(answer.From, beat)
	g.heard(time.Now(), answer)
}

// heard takes in a beat, whether it came as a call or as an answer. News goes first: only what wasn't known yet is passed on, and what
// was learned from a list or from the entry itself would not be.
func (g *Gossip) heard(now time.Time, beat Beat) {
	var changes []roster.Change
	g.locked(func(r *roster.Roster) {
		changes = append(changes, r.ApplyUpdates(now, beat.News)...)
		changes = append(changes, r.MergeList(now, beat.List)...)
		if change, changed := r.RecordContact(now, beat.From, beat.Digest); changed {
			changes = append(changes, change)
		}
	})
	for _, change := range changes {
		g.tell(now, change)
	}
	g.handler.Heard(now, beat)
}

// tell logs a change and tells the handler of a run that is over.
func (g *Gossip) tell(now time.Time, change roster.Change) {
	switch {
	case change.Silent:
		g.log.Warn().Str("dependency", "entry").Str("entry", change.Current.HostID).Msg("lost")
	case change.Current.Leaving:
		g.log.Info().Str("dependency", "entry").Str("entry", change.Current.HostID).Msg("leaving")
	default:
		g.log.Info().Str("dependency", "entry").Str("entry", change.Current.HostID).Msg("regained")
	}
	if change.EndsPrevious() {
		gone := change.Previous
		gone.Leaving = change.Current.Leaving
		g.handler.Silent(now, gone)
	}
}

// judge tells the handler of entries that fell silent.
func (g *Gossip) judge(now time.Time) {
	var fallen []Member
	g.locked(func(r *roster.Roster) { fallen = r.DetectFailures(now) })
	for _, member := range fallen {
		g.tell(now, roster.Change{Previous: member, Current: member, Silent: true})
	}
}

// State returns the other entries for the dump.
func (g *Gossip) State() any { return g.Alive(time.Now()) }
