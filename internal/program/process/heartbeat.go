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
	// countSendPeriod is how long after the end of their window usage counts are sent to other entries.
	countSendPeriod = 20 * time.Second
	// lostMemberPeriod is how long to wait for an entry whose heartbeats stopped, because it may return with counts that no
	// other entry has.
	lostMemberPeriod = 8 * time.Second
	// countRetention is how long after its start the counts of a window are kept. The window has been reported long
	// before.
	countRetention = 2 * time.Minute
	// cleanupInterval is how often outdated data is removed.
	cleanupInterval = time.Second
	// peerLoadExpiry is how long the load that an entry sent remains valid. The holder of the duties receives a heartbeat
	// from each entry within this time.
	peerLoadExpiry = 3 * time.Second
	// registrationRetryDelay is the pause before a failed registration is retried.
	registrationRetryDelay = time.Second
	// kindMembers is the kind of the store's objects with the addresses of the entries, in which new entries find the
	// others.
	kindMembers = "members"
)

func newGossipHandler(g *Gateway, incarnation uint64) *gossipHandler {
	return &gossipHandler{
		gateway:           g,
		incarnation:       incarnation,
		peerLoads:         map[string]peerLoad{},
		totalByServer:     map[string]int{},
		delivered:         map[uint64]map[usage.Cell]usage.Amount{},
		aliveIncarnations: func() map[uint64]bool { return g.gossip.Incarnations() },
	}
}

// gossipHandler provides the content of this entry's heartbeats and processes those of other entries.
type gossipHandler struct {
	gateway     *Gateway
	incarnation uint64
	// aliveIncarnations returns the incarnations of the other entries that are alive, in a map that must not be changed.
	aliveIncarnations func() map[uint64]bool

	mu sync.Mutex
	// peerLoads holds the requests that each other entry runs, and totalByServer their sum per server.
	peerLoads     map[string]peerLoad
	totalByServer map[string]int
	// delivered holds the counts that each incarnation of another entry has received from this one.
	delivered   map[uint64]map[usage.Cell]usage.Amount
	holder      gossip.DutyHolder
	lastLost    time.Time
	lastCleanup time.Time
	// workload tracks the token rates that the jobs of all entries require.
	workload weights.Workload
	// unevenPools are the pools that were logged as uneven.
	unevenPools []string
}

// peerLoad is the number of requests that an entry runs at each server, as of its last heartbeat.
type peerLoad struct {
	receivedAt time.Time
	servers    map[string]int
}

// CountRequest counts a request that started to run.
func (h *gossipHandler) CountRequest(organisation string, at time.Time) {
	cell := usage.Cell{Agent: h.incarnation, Organisation: organisation, Window: usage.WindowStart(at, h.gateway.set.UsageWindow)}
	h.gateway.ledger.Add(cell, usage.Amount{Requests: 1})
}

// Heartbeat returns the content of a heartbeat to the recipient.
func (h *gossipHandler) Heartbeat(now time.Time, to gossip.Recipient) gossip.Heartbeat {
	jobs, ended := h.gateway.jobs.Jobs(now)
	heartbeat := gossip.Heartbeat{
		Revisions:  h.gateway.view.Revisions(),
		Running:    h.gateway.balancer.Running(),
		Jobs:       jobs,
		TokenRates: h.gateway.jobs.TokenRates(),
		Ended:      ended,
		Owners:     h.gateway.jobs.Owners(now, to.ListDiffers),
		Contacts:   h.gateway.follower.Contacts(now),
		Speeds:     h.speeds(now, to.ListDiffers),
		ServerEnds: h.gateway.jobs.ServerEnds(now),
		DutyHolder: h.dutyHolder(now),
	}
	if to.KeepsCopies {
		heartbeat.Counts = h.counts(now, to.Member)
	}
	return heartbeat
}

// counts returns the counts that the recipient hasn't received from this entry. The holder of the duties also receives
// copies of other entries' counts: an entry may stop after it sent its counts to neighbours and before it sent them to the
// holder.
//
// Counts of an incarnation that is no longer alive are passed on from neighbour to neighbour. Without that, a rolling restart
// of all entries while the store was unreachable, and windows couldn't be closed, lost a complete window: each restarted
// entry lost the copies that it held for the entries restarted before it.
func (h *gossipHandler) counts(now time.Time, to gossip.Member) []usage.Count {
	from := usage.WindowStart(now.Add(-countSendPeriod), h.gateway.set.UsageWindow)
	alive := h.aliveIncarnations()
	h.mu.Lock()
	defer h.mu.Unlock()
	sendAll := to.HostID == h.holder.HostID
	received := h.delivered[to.Incarnation]
	counts := h.gateway.ledger.Filter(func(cell usage.Cell) bool {
		responsible := cell.Agent == h.incarnation || !alive[cell.Agent]
		return cell.Window >= from && (sendAll || responsible) && cell.Agent != to.Incarnation
	})
	return slices.DeleteFunc(counts, func(c usage.Count) bool { return received[c.Cell] == c.Amount })
}

// HeartbeatDelivered records which counts the recipient has received.
func (h *gossipHandler) HeartbeatDelivered(to gossip.Member, heartbeat gossip.Heartbeat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	received, ok := h.delivered[to.Incarnation]
	if !ok {
		received = map[usage.Cell]usage.Amount{}
		h.delivered[to.Incarnation] = received
	}
	for _, count := range heartbeat.Counts {
		received[count.Cell] = count.Amount
	}
}

// dutyHolder returns the latest known holder of the duties.
func (h *gossipHandler) dutyHolder(now time.Time) gossip.DutyHolder {
	h.mu.Lock()
	defer h.mu.Unlock()
	if keeper := h.gateway.sharedKeeper.Load(); keeper != nil {
		if fence, held := keeper.Held(now); held {
			h.holder = gossip.DutyHolder{HostID: h.gateway.set.HostID, Version: uint64(fence.Number)}
		}
	}
	return h.holder
}

// DirectRecipients returns the holder of the duties, which must receive the counts of all entries.
func (h *gossipHandler) DirectRecipients() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return []string{h.holder.HostID}
}

// HeartbeatReceived processes a heartbeat from another entry.
func (h *gossipHandler) HeartbeatReceived(now time.Time, heartbeat gossip.Heartbeat) {
	g := h.gateway
	g.follower.FetchNewer(context.Background(), heartbeat.From, heartbeat.Revisions)
	for _, count := range heartbeat.Counts {
		g.ledger.Merge(count)
	}
	g.jobs.ApplyGossip(heartbeat.From, heartbeat.Jobs, heartbeat.Ended, heartbeat.Owners)
	g.jobs.MergeServerEnds(now, heartbeat.ServerEnds)
	g.follower.MergeContacts(now, heartbeat.Contacts)
	g.balancer.MergeSpeeds(now, heartbeat.Speeds)
	h.updateDutyHolder(heartbeat.DutyHolder)
	h.observeTokenRates(now, heartbeat.TokenRates)
	h.updatePeerLoad(heartbeat.From.HostID, peerLoad{receivedAt: now, servers: heartbeat.Running})
	h.removeExpired(now)
}

func (h *gossipHandler) observeTokenRates(now time.Time, rates map[string]float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.workload.Observe(now, rates)
}

// tokenRates returns the recent peak of the token rate that the jobs of each model require.
func (h *gossipHandler) tokenRates(now time.Time) map[string]float64 {
	h.observeTokenRates(now, h.gateway.jobs.TokenRates())
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.workload.Peaks(now)
}

// updateDutyHolder records the holder of the duties if it is newer than the known one.
func (h *gossipHandler) updateDutyHolder(holder gossip.DutyHolder) {
	h.mu.Lock()
	newer := holder.Version > h.holder.Version
	if newer {
		h.holder = holder
	}
	h.mu.Unlock()
	if keeper := h.gateway.sharedKeeper.Load(); keeper != nil && newer {
		keeper.Heard(product.Version(holder.Version))
	}
}

// updatePeerLoad records the requests that another entry runs at each server.
func (h *gossipHandler) updatePeerLoad(hostID string, load peerLoad) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := map[string]int{}
	for server, count := range h.peerLoads[hostID].servers {
		h.totalByServer[server] -= count
		changed[server] = 0
	}
	for server, count := range load.servers {
		h.totalByServer[server] += count
		changed[server] = 0
	}
	if len(load.servers) == 0 {
		delete(h.peerLoads, hostID)
	} else {
		h.peerLoads[hostID] = load
	}
	for server := range changed {
		changed[server] = h.totalByServer[server]
		if h.totalByServer[server] == 0 {
			delete(h.totalByServer, server)
		}
	}
	h.gateway.balancer.RecordPeerRequests(changed)
}

// removeExpired removes outdated loads and counts, at most once per cleanupInterval.
func (h *gossipHandler) removeExpired(now time.Time) {
	h.mu.Lock()
	if now.Sub(h.lastCleanup) < cleanupInterval {
		h.mu.Unlock()
		return
	}
	h.lastCleanup = now
	var expired []string
	for hostID, load := range h.peerLoads {
		if now.Sub(load.receivedAt) > peerLoadExpiry {
			expired = append(expired, hostID)
		}
	}
	cutoff := now.Add(-countRetention).Unix()
	alive := h.aliveIncarnations()
	maps.DeleteFunc(h.delivered, func(incarnation uint64, received map[usage.Cell]usage.Amount) bool {
		maps.DeleteFunc(received, func(cell usage.Cell, _ usage.Amount) bool { return cell.Window < cutoff })
		return !alive[incarnation]
	})
	h.mu.Unlock()
	for _, hostID := range expired {
		h.updatePeerLoad(hostID, peerLoad{})
	}
	h.gateway.ledger.Forget(func(c usage.Count) bool { return c.Cell.Window < cutoff })
}

// MemberLeaving removes the load of an entry that starts to leave. It hands its jobs over itself.
func (h *gossipHandler) MemberLeaving(_ time.Time, member gossip.Member) {
	h.updatePeerLoad(member.HostID, peerLoad{})
}

// MemberGone removes the load of an entry that is no longer alive, and has its jobs run again: also those of one that was leaving, which it
// could not hand over.
func (h *gossipHandler) MemberGone(now time.Time, member gossip.Member) {
	h.updatePeerLoad(member.HostID, peerLoad{})
	if !member.Leaving {
		h.mu.Lock()
		h.lastLost = now
		h.mu.Unlock()
	}
	h.gateway.jobs.RerunJobsOf(member)
}

// memberLostRecently reports whether an entry became silent within lostMemberPeriod.
func (h *gossipHandler) memberLostRecently(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.lastLost) < lostMemberPeriod
}
