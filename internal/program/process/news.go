package process

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/core/weights"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

const (
	// toldWindows is for how long counts of usage are told to the others after their window's end.
	toldWindows = 20 * time.Second
	// missedTime is how long after it fell silent an entry is expected back with counts that nobody else has.
	missedTime = 8 * time.Second
	// forgetCounts is when counts of a window are dropped: long after its report.
	forgetCounts = 2 * time.Minute
	// tidyPause is how often what is out of date is dropped.
	tidyPause = time.Second
	// runningTime is how long it counts what an entry said to run at servers; the holder of the duties hears each entry within it.
	runningTime = 3 * time.Second
	// registerPause is the pause before a failed registration is tried again.
	registerPause = time.Second
	// kindMembers holds the addresses of the entries, so that new ones find the others.
	kindMembers = "members"
)

func newNews(g *Gateway, incarnation uint64) *news {
	return &news{
		gateway:     g,
		incarnation: incarnation,
		running:     map[string]runningThere{},
		total:       map[string]int{},
		told:        map[uint64]map[usage.Cell]usage.Amount{},
		living:      g.living,
	}
}

// news is what this entry tells the others, and what it does with what they tell.
type news struct {
	gateway     *Gateway
	incarnation uint64
	// living returns the runs of other entries that are alive.
	living func(now time.Time) map[uint64]bool

	mu sync.Mutex
	// running is what each other entry runs, and total the sum by server.
	running map[string]runningThere
	total   map[string]int
	// told are the counts that each other run of an entry has from this one.
	told   map[uint64]map[usage.Cell]usage.Amount
	holder gossip.DutyHolder
	missed time.Time
	tidied time.Time
	// workload tracks the token rates that the jobs of all entries require.
	workload weights.Workload
}

// runningThere is the number of requests that an entry runs at each server, as it told at a time.
type runningThere struct {
	at      time.Time
	servers map[string]int
}

// CountRequest counts a request that began to run.
func (n *news) CountRequest(organisation string, at time.Time) {
	cell := usage.Cell{Agent: n.incarnation, Organisation: organisation, Window: usage.WindowStart(at, n.gateway.set.UsageWindow)}
	n.gateway.ledger.Add(cell, usage.Amount{Requests: 1})
}

// Heartbeat returns what this entry tells.
func (n *news) Heartbeat(now time.Time, to gossip.Recipient) gossip.Heartbeat {
	jobs, ended := n.gateway.jobs.Jobs(now)
	beat := gossip.Heartbeat{
		Revisions:  n.gateway.view.Revisions(),
		Running:    n.gateway.book.Running(),
		Jobs:       jobs,
		TokenRates: n.gateway.jobs.TokenRates(),
		Ended:      ended,
		Owners:     n.gateway.jobs.Owners(now, to.ListDiffers),
		Contacts:   n.gateway.follower.Contacts(now),
		DutyHolder: n.dutyHolder(now),
	}
	if to.KeepsCopies {
		beat.Counts = n.counts(now, to.Member)
	}
	return beat
}

// living returns the runs of other entries that are alive.
func (g *Gateway) living(now time.Time) map[uint64]bool {
	living := map[uint64]bool{}
	for _, member := range g.gossip.Alive(now) {
		living[member.Incarnation] = true
	}
	return living
}

// counts returns the counts that the entry hasn't got from this one. The holder of the duties gets copies of others' counts too: an
// entry may die after it told its neighbours and before it told the holder.
//
// Guard: all entries are restarted one after the other while the store is out of reach, and windows can't be closed. Each takes the copies
// with it that it had of those before, and a whole window was lost. So the counts of a run that is over go on from neighbour to neighbour.
func (n *news) counts(now time.Time, to gossip.Member) []usage.Count {
	from := usage.WindowStart(now.Add(-toldWindows), n.gateway.set.UsageWindow)
	living := n.living(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	all := to.HostID == n.holder.HostID
	there := n.told[to.Incarnation]
	counts := n.gateway.ledger.Filter(func(cell usage.Cell) bool {
		mine := cell.Agent == n.incarnation || !living[cell.Agent]
		return cell.Window >= from && (all || mine) && cell.Agent != to.Incarnation
	})
	return slices.DeleteFunc(counts, func(c usage.Count) bool { return there[c.Cell] == c.Amount })
}

// HeartbeatDelivered remembers which counts an entry has.
func (n *news) HeartbeatDelivered(to gossip.Member, beat gossip.Heartbeat) {
	n.mu.Lock()
	defer n.mu.Unlock()
	there, ok := n.told[to.Incarnation]
	if !ok {
		there = map[usage.Cell]usage.Amount{}
		n.told[to.Incarnation] = there
	}
	for _, count := range beat.Counts {
		there[count.Cell] = count.Amount
	}
}

// dutyHolder returns the holder of the duties as far as it is known.
func (n *news) dutyHolder(now time.Time) gossip.DutyHolder {
	n.mu.Lock()
	defer n.mu.Unlock()
	if keeper := n.gateway.duties.Load(); keeper != nil {
		if fence, held := keeper.Held(now); held {
			n.holder = gossip.DutyHolder{HostID: n.gateway.set.HostID, Version: uint64(fence.Number)}
		}
	}
	return n.holder
}

// DirectRecipients returns the holder of the duties, which must hear the counts of all.
func (n *news) DirectRecipients() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return []string{n.holder.HostID}
}

// HeartbeatReceived takes in what another entry told.
func (n *news) HeartbeatReceived(now time.Time, beat gossip.Heartbeat) {
	g := n.gateway
	g.follower.FetchNewer(context.Background(), beat.From, beat.Revisions)
	for _, count := range beat.Counts {
		g.ledger.Merge(count)
	}
	g.jobs.ApplyGossip(beat.From, beat.Jobs, beat.Ended, beat.Owners)
	g.follower.MergeContacts(now, beat.Contacts)
	n.hearHolder(beat.DutyHolder)
	n.observeTokenRates(now, beat.TokenRates)
	n.note(beat.From.HostID, runningThere{at: now, servers: beat.Running})
	n.tidy(now)
}

func (n *news) observeTokenRates(now time.Time, rates map[string]float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.workload.Observe(now, rates)
}

// tokenRates returns the recent peak of the token rate that the jobs of each model require.
func (n *news) tokenRates(now time.Time) map[string]float64 {
	n.observeTokenRates(now, n.gateway.jobs.TokenRates())
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.workload.Peaks(now)
}

// hearHolder takes in who holds the duties.
func (n *news) hearHolder(holder gossip.DutyHolder) {
	n.mu.Lock()
	newer := holder.Version > n.holder.Version
	if newer {
		n.holder = holder
	}
	n.mu.Unlock()
	if keeper := n.gateway.duties.Load(); keeper != nil && newer {
		keeper.Heard(product.Version(holder.Version))
	}
}

// note takes in what another entry runs at servers.
func (n *news) note(hostID string, there runningThere) {
	n.mu.Lock()
	defer n.mu.Unlock()
	changed := map[string]int{}
	for server, count := range n.running[hostID].servers {
		n.total[server] -= count
		changed[server] = 0
	}
	for server, count := range there.servers {
		n.total[server] += count
		changed[server] = 0
	}
	if len(there.servers) == 0 {
		delete(n.running, hostID)
	} else {
		n.running[hostID] = there
	}
	for server := range changed {
		changed[server] = n.total[server]
		if n.total[server] == 0 {
			delete(n.total, server)
		}
	}
	n.gateway.book.RecordPeerRequests(changed)
}

// tidy drops what is out of date.
func (n *news) tidy(now time.Time) {
	n.mu.Lock()
	if now.Sub(n.tidied) < tidyPause {
		n.mu.Unlock()
		return
	}
	n.tidied = now
	var old []string
	for hostID, there := range n.running {
		if now.Sub(there.at) > runningTime {
			old = append(old, hostID)
		}
	}
	before := now.Add(-forgetCounts).Unix()
	living := n.living(now)
	maps.DeleteFunc(n.told, func(run uint64, there map[usage.Cell]usage.Amount) bool {
		maps.DeleteFunc(there, func(cell usage.Cell, _ usage.Amount) bool { return cell.Window < before })
		return !living[run]
	})
	n.mu.Unlock()
	for _, hostID := range old {
		n.note(hostID, runningThere{})
	}
	n.gateway.ledger.Forget(func(c usage.Count) bool { return c.Cell.Window < before })
}

// MemberGone takes in that an entry isn't heard of any more.
func (n *news) MemberGone(now time.Time, member gossip.Member) {
	n.note(member.HostID, runningThere{})
	if member.Leaving {
		return
	}
	n.mu.Lock()
	n.missed = now
	n.mu.Unlock()
	n.gateway.jobs.RerunJobsOf(member)
}

// missing says whether an entry fell silent lately.
func (n *news) missing(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return now.Sub(n.missed) < missedTime
}
