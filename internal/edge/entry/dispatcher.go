package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/placement"
	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/usage"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/agent"
	"github.com/oleandershelf/oleandershelf/internal/edge/membership"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

const (
	// maxAttempts bounds one request's tries, so that a request that fails everywhere ends.
	maxAttempts = 4
	// subsetSize is how many servers of a pool an entry uses; it bounds the connections of a host.
	subsetSize = 24
	// probeTimeout is well above a round trip between regions, and below what a caller would notice.
	probeTimeout = 300 * time.Millisecond
	// noServerRetry is when to come back if a pool has no server that can be asked.
	noServerRetry = 2 * time.Second
)

// Members is the list of hosts.
type Members interface {
	Servers(pool string) []platform.Host
	Entries() []platform.Host
}

// DispatcherConfig holds what a dispatcher knows of its own host.
type DispatcherConfig struct {
	HostID           string
	AvailabilityZone string
	Incarnation      uint64
}

// Dispatcher places requests at agents, retries those that have not run, and settles those that were lost.
type Dispatcher struct {
	config  DispatcherConfig
	client  *peer.Client
	members Members
	tracker *placement.Tracker
	budget  *placement.RetryBudget
	// revision returns the configuration revision in force.
	revision func() uint64
	// counted takes the usage counter of each finished answer.
	counted func(usage.Count)
	metrics *Metrics
	counter atomic.Uint64
	// subsets holds a *subsets for each pool's name.
	subsets sync.Map
}

// NewDispatcher returns a dispatcher over the hosts of members.
func NewDispatcher(config DispatcherConfig, client *peer.Client, members Members, revision func() uint64, counted func(usage.Count), metrics *Metrics) *Dispatcher {
	return &Dispatcher{
		config:   config,
		client:   client,
		members:  members,
		tracker:  placement.NewTracker(),
		budget:   placement.NewRetryBudget(),
		revision: revision,
		counted:  counted,
		metrics:  metrics,
	}
}

// entries returns the number of live entries, at least this one.
func (d *Dispatcher) entries() int { return max(1, len(d.members.Entries())) }

// call is one request of a caller or trainer, over all its tries.
type call struct {
	organisation string
	keyHash      string
	pool         ticket.Pool
	// prefix is the hash of the prompt's prefix, for servers that cache prefixes; 0 for none.
	prefix     uint64
	idempotent bool
	priority   request.Priority
	cost       float64
	// avoid are hosts that are not tried: a second run of a straggler goes to another server.
	avoid []string
	// placed, if set, is told the host of each try.
	placed func(hostID string)
	// message returns the call's method, path, headers and body for the next try; a generation
	// that lost its stream resumes from the tokens it has.
	message func() request.Execute
}

// consumer takes one answer. It returns errFinal-wrapped errors for failures of its own receiver.
type consumer func(answer *peer.Answer[request.AnswerEnd]) error

// run tries the call at one agent after another until consume has taken a whole answer, the call may
// not be repeated, or the retry budget is used up.
//
// Guard: a second run of a call that may not be repeated. Only NotRun is tried again; an idempotent call is
// tried again from MayHaveRun too. The verdict comes from the agent, or from settling after a lost connection.
func (d *Dispatcher) run(ctx context.Context, c call, consume consumer) error {
	d.budget.Deposit()
	tried := map[string]bool{}
	for _, hostID := range c.avoid {
		tried[hostID] = true
	}
	last := noServer(c.pool.Name)
	var isolated isolatedAgents
	for attempts, paid := 0, 0; attempts < maxAttempts; {
		// A wait for an agent that takes itself for cut off is no retry of a failed call: taken out of the budget, a few such
		// waits emptied it at the start of an outage, and calls lost with their agent were refused with idle agents left.
		if attempts > paid {
			if !d.budget.TryWithdraw() {
				return last
			}
			paid++
			d.metrics.retried(c.pool.Name)
		}
		server, ok := d.place(ctx, c, tried)
		for !ok && isolated.wait(ctx, tried) {
			server, ok = d.place(ctx, c, tried)
		}
		if !ok {
			return d.orDeadline(ctx, last)
		}
		tried[server.HostID] = true
		if c.placed != nil {
			c.placed(server.HostID)
		}
		err := d.try(ctx, c, server, consume)
		if err == nil {
			return nil
		}
		last = verdict.From(err)
		if !isolated.note(server.HostID, last) {
			// Others are bounded by time.
			attempts++
		}
		if !mayRepeat(last, c.idempotent) || ctx.Err() != nil {
			return last
		}
	}
	return last
}

// orDeadline explains a missing server by the caller's deadline where that is the cause.
func (d *Dispatcher) orDeadline(ctx context.Context, last *verdict.Refusal) *verdict.Refusal {
	if ctx.Err() == nil || last.Verdict != verdict.NotRun {
		return last
	}
	return verdict.Refuse(verdict.NotRun, verdict.ReasonDeadlinePassed, 0, "the deadline passed before a server was found")
}

func noServer(pool string) *verdict.Refusal {
	return verdict.Refuse(verdict.NotRun, verdict.ReasonNoServer, noServerRetry, "pool %s has no server to take the request", pool)
}

// finalReasons are refusals that every agent would give.
var finalReasons = []verdict.Reason{
	verdict.ReasonBadRequest, verdict.ReasonTooLarge, verdict.ReasonAnswerTooLarge, verdict.ReasonUnknownKey, verdict.ReasonKeyWithdrawn,
	verdict.ReasonForbidden, verdict.ReasonNotFound, verdict.ReasonDeadlinePassed, verdict.ReasonCancelled, verdict.ReasonCallerGone,
}

func mayRepeat(refusal *verdict.Refusal, idempotent bool) bool {
	if slices.Contains(finalReasons, refusal.Reason) {
		return false
	}
	switch refusal.Verdict {
	case verdict.NotRun:
		return true
	case verdict.MayHaveRun:
		return idempotent
	default:
		return false
	}
}

// place probes a few agents at once and chooses the one where the call starts soonest.
//
// Guard: several servers leave at once, and the probes meet only those. The call would be refused for want of a server
// though others have room; so others are probed, until one takes calls or all have been asked.
func (d *Dispatcher) place(ctx context.Context, c call, tried map[string]bool) (placement.Server, bool) {
	for ctx.Err() == nil {
		candidates := d.tracker.Candidates(time.Now(), d.subset(c.pool.Name), c.prefix, tried)
		if len(candidates) == 0 {
			break
		}
		probed := d.probe(ctx, c, candidates)
		if server, ok := d.tracker.Choose(time.Now(), probed, c.cost); ok {
			return server, true
		}
		for _, leaving := range candidates {
			tried[leaving.HostID] = true
		}
	}
	return placement.Server{}, false
}

// subset returns this entry's part of the pool's servers. It is computed once for each list of hosts: ranking
// 2,200 servers takes longer than all other decisions about a request together.
func (d *Dispatcher) subset(pool string) []placement.Server {
	known, _ := d.subsets.LoadOrStore(pool, &subsets{})
	return known.(*subsets).GetOrCompute(d.members.Servers(pool), func(hosts []platform.Host) []placement.Server {
		return placement.Subset(d.config.HostID, d.config.AvailabilityZone, serversOf(hosts), subsetSize)
	})
}

// subsets holds an entry's part of one pool for the newest list of hosts.
type subsets = membership.ListCache[[]placement.Server]

func serversOf(hosts []platform.Host) []placement.Server {
	servers := make([]placement.Server, 0, len(hosts))
	for _, host := range hosts {
		servers = append(servers, placement.Server{
			HostID:           host.ID,
			Pool:             host.Pool,
			AvailabilityZone: host.AvailabilityZone,
			Address:          host.PeerAddress,
			Leaving:          host.State == platform.HostLeaving,
		})
	}
	return servers
}

func (d *Dispatcher) probe(ctx context.Context, c call, candidates []placement.Server) []placement.ProbeResult {
	probed := make([]placement.ProbeResult, len(candidates))
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var group conc.WaitGroup
	for i, server := range candidates {
		group.Go(func() {
			sent := time.Now()
			load, err := peer.Call[request.Probe, request.Load](ctx, d.client, server.Address, agent.MethodProbe,
				request.Probe{Organisation: c.organisation, PrefixHash: c.prefix})
			probed[i] = placement.ProbeResult{Server: server, Load: load, Err: err, RoundTrip: time.Since(sent)}
			if err == nil {
				d.tracker.ObserveLoad(time.Now(), server.HostID, load)
			}
		})
	}
	group.Wait()
	return probed
}

// try sends the call to one agent and passes the answer to consume.
func (d *Dispatcher) try(ctx context.Context, c call, server placement.Server, consume consumer) error {
	started := time.Now()
	message := d.fill(ctx, c)
	answer, err := peer.OpenStream[request.Execute, request.AnswerEnd](ctx, d.client, server.Address, agent.MethodExecute, message)
	if err == nil {
		err = consume(answer)
	}
	if err == nil {
		d.counted(answer.End().Count)
		d.finished(c, server, started, false)
		return nil
	}
	ask := request.Settle{ID: message.ID, Process: peer.ServerIncarnation(err)}
	if answer != nil {
		ask.Process = answer.ServerIncarnation()
		answer.Cancel()
	}
	err = d.explain(ctx, err, server, ask)
	if isServerFault(err) {
		d.finished(c, server, started, true)
	}
	return err
}

// finished tells placement how a request went. A refusal says nothing about the server's speed and isn't told.
func (d *Dispatcher) finished(c call, server placement.Server, started time.Time, failed bool) {
	now := time.Now()
	took := now.Sub(started)
	if c.cost > 0 {
		took = time.Duration(float64(took) / c.cost)
	}
	d.tracker.ObserveRequest(now, server.HostID, took, failed)
	if c.prefix != 0 && !failed {
		d.tracker.ObservePrefix(now, c.prefix, server.HostID)
	}
}

func (d *Dispatcher) fill(ctx context.Context, c call) request.Execute {
	message := c.message()
	message.ID = request.ID{Incarnation: d.config.Incarnation, Counter: d.counter.Add(1)}
	message.Organisation = c.organisation
	message.KeyHash = c.keyHash
	message.Pool = c.pool.Name
	message.Idempotent = c.idempotent
	message.Priority = c.priority
	message.Cost = c.cost
	message.Revision = d.revision()
	if end, ok := ctx.Deadline(); ok {
		message.Remaining = time.Until(end)
	}
	return message
}

// isServerFault says whether a failure counts against the server in placement.
func isServerFault(err error) bool {
	refusal := verdict.From(err)
	return refusal.Reason == verdict.ReasonServerLost || refusal.Reason == verdict.ReasonServerFailed
}

// errReceiver marks a failure of whoever the answer was for, which no other agent can mend.
var errReceiver = errors.New("the receiver of the answer is gone")

// explain turns a failed try into a refusal with a true verdict.
func (d *Dispatcher) explain(ctx context.Context, err error, server placement.Server, ask request.Settle) *verdict.Refusal {
	if refusal, ok := verdict.As(err); ok {
		return refusal
	}
	if errors.Is(err, peer.ErrUnsent) {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonServerLost, noServerRetry, "agent %s can't be reached", server.HostID)
	}
	v := d.settle(ctx, server, ask)
	if errors.Is(err, errReceiver) {
		return verdict.Refuse(v, verdict.ReasonCallerGone, 0, "the caller hung up")
	}
	if ctx.Err() != nil {
		return verdict.Refuse(v, verdict.ReasonDeadlinePassed, 0, "the deadline passed while the request was at agent %s", server.HostID)
	}
	return verdict.Refuse(v, verdict.ReasonServerLost, noServerRetry, "the connection to agent %s was lost", server.HostID)
}
