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
	// maxAttempts bounds the attempts of one request, so that a request that fails everywhere ends.
	maxAttempts = 4
	// subsetSize is how many servers of a pool an entry uses; it bounds the number of connections per host.
	subsetSize = 24
	// probeTimeout is well above a round trip between regions, and short enough that a caller doesn't notice it.
	probeTimeout = 300 * time.Millisecond
	// unavailableRetryAfter is the Retry-After of refusals because a server or the platform is missing, unreachable or
	// failed.
	unavailableRetryAfter = 2 * time.Second
)

// Members lists the live hosts by role.
type Members interface {
	Servers(pool string) []platform.Host
	Entries() []platform.Host
}

// DispatcherConfig identifies the host that a dispatcher runs on.
type DispatcherConfig struct {
	HostID           string
	AvailabilityZone string
	Incarnation      uint64
}

// Dispatcher sends requests to agents, retries those that may be repeated, and queries the outcome of those whose
// connection was lost.
type Dispatcher struct {
	config  DispatcherConfig
	client  *peer.Client
	members Members
	tracker *placement.Tracker
	budget  *placement.RetryBudget
	// revision returns the revision of the configuration in force.
	revision func() uint64
	// recordUsage takes the usage count of each complete answer.
	recordUsage    func(usage.Count)
	metrics        *Metrics
	requestCounter atomic.Uint64
	// subsets maps the name of a pool to its *subsetCache.
	subsets sync.Map
}

// NewDispatcher returns a dispatcher that sends requests to the hosts of members.
func NewDispatcher(config DispatcherConfig, client *peer.Client, members Members, revision func() uint64, recordUsage func(usage.Count), metrics *Metrics) *Dispatcher {
	return &Dispatcher{
		config:      config,
		client:      client,
		members:     members,
		tracker:     placement.NewTracker(),
		budget:      placement.NewRetryBudget(),
		revision:    revision,
		recordUsage: recordUsage,
		metrics:     metrics,
	}
}

// entries returns the number of live entries, at least 1.
func (d *Dispatcher) entries() int { return max(1, len(d.members.Entries())) }

// call is one request of a caller or trainer, over all its attempts.
type call struct {
	organisation string
	keyHash      string
	pool         ticket.Pool
	// prefix is the hash of the prompt's prefix, used to find servers that have it cached; 0 for none.
	prefix     uint64
	idempotent bool
	priority   request.Priority
	cost       float64
	// excludedHosts aren't tried: a hedged run of a slow sample goes to another server.
	excludedHosts []string
	// onPlaced, if set, receives the host of each attempt.
	onPlaced func(hostID string)
	// message returns the method, path, headers and body for the next attempt; a generation whose stream was lost
	// resumes from the tokens it has.
	message func() request.Execute
}

// consumer reads one answer. It returns errors that wrap errReceiverGone if the receiver of the answer fails.
type consumer func(answer *peer.Answer[request.AnswerEnd]) error

// run tries the call at one agent after another until consume has read a complete answer, the call may not be
// repeated, no server is left, or the attempts or the retry budget are used up.
//
// A call that isn't idempotent must not run twice: it is tried again only after NotRun, an idempotent one also after
// MayHaveRun. The verdict comes from the agent, or from settle after a lost connection.
func (d *Dispatcher) run(ctx context.Context, c call, consume consumer) error {
	d.budget.Deposit()
	tried := map[string]bool{}
	for _, hostID := range c.excludedHosts {
		tried[hostID] = true
	}
	last := noServerRefusal(c.pool.Name)
	var refusing refusingAgents
	for attempts, budgetedRetries := 0, 0; attempts < maxAttempts; {
		// Retries at an agent that considers itself isolated don't count against the retry budget. Otherwise a few of
		// them would exhaust it at the start of an outage, and calls that are lost with their agent would be refused
		// although other agents are idle.
		if attempts > budgetedRetries {
			if !d.budget.TryWithdraw() {
				return last
			}
			budgetedRetries++
			d.metrics.retried(c.pool.Name)
		}
		server, ok := d.place(ctx, c, tried)
		for !ok && refusing.wait(ctx, tried) {
			server, ok = d.place(ctx, c, tried)
		}
		if !ok {
			return d.deadlineOrLast(ctx, last)
		}
		tried[server.HostID] = true
		if c.onPlaced != nil {
			c.onPlaced(server.HostID)
		}
		err := d.attempt(ctx, c, server, consume)
		if err == nil {
			return nil
		}
		last = verdict.From(err)
		if !refusing.add(server.HostID, last) {
			// Attempts while the request waits for isolated agents are bounded by maxIsolatedWait instead.
			attempts++
		}
		if !mayRetry(last, c.idempotent) || ctx.Err() != nil {
			return last
		}
	}
	return last
}

// deadlineOrLast replaces last by a refusal for the passed deadline if ctx has ended and nothing has run.
func (d *Dispatcher) deadlineOrLast(ctx context.Context, last *verdict.Refusal) *verdict.Refusal {
	if ctx.Err() == nil || last.Verdict != verdict.NotRun {
		return last
	}
	return verdict.Refuse(verdict.NotRun, verdict.ReasonDeadlinePassed, 0, "the deadline passed before a server was found")
}

func noServerRefusal(pool string) *verdict.Refusal {
	return verdict.Refuse(verdict.NotRun, verdict.ReasonNoServer, unavailableRetryAfter, "pool %s has no server to take the request", pool)
}

// permanentReasons are refusals that every agent would return.
var permanentReasons = []verdict.Reason{
	verdict.ReasonBadRequest, verdict.ReasonTooLarge, verdict.ReasonAnswerTooLarge, verdict.ReasonUnknownKey, verdict.ReasonKeyWithdrawn,
	verdict.ReasonForbidden, verdict.ReasonNotFound, verdict.ReasonDeadlinePassed, verdict.ReasonCancelled, verdict.ReasonCallerGone,
}

func mayRetry(refusal *verdict.Refusal, idempotent bool) bool {
	if slices.Contains(permanentReasons, refusal.Reason) {
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

// place probes a few agents in parallel and chooses the one where the call is estimated to start soonest.
//
// If all probed servers are leaving, it probes others until one accepts calls or none is left. Otherwise, while many
// servers leave at once, a call would be refused for lack of a server although others have room.
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
		for _, candidate := range candidates {
			tried[candidate.HostID] = true
		}
	}
	return placement.Server{}, false
}

// subset returns this entry's subset of the pool's servers. It is computed once for each host list: ranking 2,200
// servers takes longer than all other decisions about a request together.
func (d *Dispatcher) subset(pool string) []placement.Server {
	cached, _ := d.subsets.LoadOrStore(pool, &subsetCache{})
	return cached.(*subsetCache).GetOrCompute(d.members.Servers(pool), func(hosts []platform.Host) []placement.Server {
		return placement.Subset(d.config.HostID, d.config.AvailabilityZone, serversOf(hosts), subsetSize)
	})
}

// subsetCache caches an entry's subset of one pool for the newest host list.
type subsetCache = membership.ListCache[[]placement.Server]

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

// attempt sends the call to one agent and passes the answer to consume.
func (d *Dispatcher) attempt(ctx context.Context, c call, server placement.Server, consume consumer) error {
	started := time.Now()
	message := d.newMessage(ctx, c)
	answer, err := peer.OpenStream[request.Execute, request.AnswerEnd](ctx, d.client, server.Address, agent.MethodExecute, message)
	if err == nil {
		err = consume(answer)
	}
	if err == nil {
		d.recordUsage(answer.End().Count)
		d.observe(c, server, started, false)
		return nil
	}
	query := request.Settle{ID: message.ID, Process: peer.ServerIncarnation(err)}
	if answer != nil {
		query.Process = answer.ServerIncarnation()
		answer.Cancel()
	}
	err = d.toRefusal(ctx, err, server, query)
	if isServerFault(err) {
		d.observe(c, server, started, true)
	}
	return err
}

// observe reports the latency of a request, divided by its cost, or its failure to placement. It isn't called for
// refusals, which say nothing about the server's speed.
func (d *Dispatcher) observe(c call, server placement.Server, started time.Time, failed bool) {
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

func (d *Dispatcher) newMessage(ctx context.Context, c call) request.Execute {
	message := c.message()
	message.ID = request.ID{Incarnation: d.config.Incarnation, Counter: d.requestCounter.Add(1)}
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

// isServerFault reports whether a failure counts against the server in placement.
func isServerFault(err error) bool {
	refusal := verdict.From(err)
	return refusal.Reason == verdict.ReasonServerLost || refusal.Reason == verdict.ReasonServerFailed
}

// errReceiverGone marks a failure of the receiver of the answer; trying another agent can't help.
var errReceiverGone = errors.New("the receiver of the answer is gone")

// toRefusal turns the error of a failed attempt into a refusal with the verdict that the agent reports.
func (d *Dispatcher) toRefusal(ctx context.Context, err error, server placement.Server, query request.Settle) *verdict.Refusal {
	if refusal, ok := verdict.As(err); ok {
		return refusal
	}
	if errors.Is(err, peer.ErrUnsent) {
		return verdict.Refuse(verdict.NotRun, verdict.ReasonServerLost, unavailableRetryAfter, "agent %s can't be reached", server.HostID)
	}
	v := d.settle(ctx, server, query)
	if errors.Is(err, errReceiverGone) {
		return verdict.Refuse(v, verdict.ReasonCallerGone, 0, "the caller hung up")
	}
	if ctx.Err() != nil {
		return verdict.Refuse(v, verdict.ReasonDeadlinePassed, 0, "the deadline passed while the request was at agent %s", server.HostID)
	}
	return verdict.Refuse(v, verdict.ReasonServerLost, unavailableRetryAfter, "the connection to agent %s was lost", server.HostID)
}
