// Package batchjob accepts, runs, lists and ends batch jobs, and keeps them in the platform's store. The decisions are those of
// core/batch.
//
// An entry is a gateway process. Entries share the store, call each other and exchange gossip; a trainer may call any of them. A job, the
// pages of its results and its end are objects of the store, each created once.
//
// The entry that runs a job is its owner. Who that is matters for liveness only: normally it is the job's preferred runner (see
// batch.PreferredRunner), and if no living entry runs a job, an entry that receives a read of its results restarts it.
package batchjob

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/core/length"
	"github.com/oleandershelf/oleandershelf/internal/core/routing"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/call"
	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// Kinds of the objects of the store: jobs, the pages of their results, and their ends.
const (
	KindJobs  = "jobs"
	KindPages = "pages"
	KindEnds  = "ends"
)

const (
	// storeRetryAfter is when a caller should retry if the store can't be reached; its outages take seconds.
	storeRetryAfter = time.Second
	// outageRetryAfter is when to retry while no entry reaches the store: a refusal costs nothing, and the trainer's step waits.
	outageRetryAfter = 500 * time.Millisecond
	// endAnnounceTime is for how long gossip announces that a job ended: many messages. The end is remembered for endRetention.
	endAnnounceTime = 10 * time.Second
	endRetention    = 3 * time.Minute
	// cacheTTL is how long a job that isn't run or read stays in memory. Results are read again for minutes after a job's end, and reading
	// them again costs a call to the store for each page.
	cacheTTL = 2 * time.Minute
	// maxIdleJobs is how many jobs that this process doesn't run stay in memory at most, bodies included. Bodies are requested until the end
	// of a job, and each that isn't in memory costs a read of the store.
	maxIdleJobs = 24
	// lostAnswerTimeout bounds the polling for a job whose create had no answer; the store may carry a call out seconds late.
	lostAnswerTimeout      = 8 * time.Second
	lostAnswerPollInterval = 500 * time.Millisecond
	// peerTimeout bounds a request to another entry on a caller's behalf, in addition to the wait that it asks for. Entries answer within
	// milliseconds, and if an entry is frozen but not yet detected as lost, time must be left to answer without it.
	peerTimeout = 600 * time.Millisecond
)

// Store is the part of the platform's store that batch jobs use.
type Store interface {
	Get(ctx context.Context, kind, name string) (product.Object, error)
	Create(ctx context.Context, kind, name string, value json.RawMessage) (product.Version, error)
	List(ctx context.Context, kind string) ([]product.Object, product.Version, error)
	Delete(ctx context.Context, kind, name string, version product.Version) error
}

// Members gives this entry and the other living ones.
type Members interface {
	Self() gossip.Member
	Find(now time.Time, hostID string) (gossip.Member, bool)
	// Alive returns the other living entries. The caller must not change the slice.
	Alive(now time.Time) []gossip.Member
}

// Manager manages the batch jobs of an entry. It is safe for concurrent use.
type Manager struct {
	ctx      context.Context
	store    Store
	balancer *backend.Balancer
	servers  *exchange.Client
	calls    *call.Sender
	route    func(host, path string) (routing.Route, bool)
	peers    *peer.Client
	members  Members
	outage   func(now time.Time) bool
	// storeReached is nil if the store counts as reached at the start.
	storeReached func() (time.Time, bool)
	demand       func() batch.Demand
	region       func(zone string) string
	metrics      *Metrics
	log          zerolog.Logger
	// lengths learns how long the outputs of each model are, from the items of all jobs.
	lengths *length.Estimator
	// serverEnds counts the servers that ended under items, probes tells whether a server has ended.
	serverEnds *batch.EndTracker
	probes     serverProbes
	wg         conc.WaitGroup
	// handovers counts the handovers of jobs that go on after HandOverJobs.
	handovers conc.WaitGroup

	mu   sync.Mutex
	jobs map[string]*job
	// owners are the entries that run a job, by job, as announced by them or by others.
	owners map[string]owner
	// lastOwners are the entries that ran a job until its end and still have its results in memory, by job.
	lastOwners map[string]owner
	ended      map[string]time.Time
	// reopened are the jobs that were open before this process started and that it has tried to restart, each once.
	reopened map[string]bool
	// reruns are the jobs that this entry tries to have run again.
	reruns map[string]bool
	// lostAnswers are the jobs that resolveLostAnswer polls for, with the time until which it does.
	lostAnswers map[string]time.Time
	started     time.Time
	// early holds the unaccepted jobs; nil unless jobs may begin without the store.
	early *earlyJobs
	// leaving is set once the process hands its jobs over.
	leaving bool
}

// Deps are the dependencies of a manager.
type Deps struct {
	Store    Store
	Balancer *backend.Balancer
	Servers  *exchange.Client
	// Calls sends reward calls, and Route finds the route of one in the configuration in force.
	Calls   *call.Sender
	Route   func(host, path string) (routing.Route, bool)
	Peers   *peer.Client
	Members Members
	// Outage reports whether the store is known to be unreachable from every entry.
	Outage func(now time.Time) bool
	// StoreReached returns when this process first had the store's state, if it has; nil if it had it when it started.
	StoreReached func() (time.Time, bool)
	// Demand returns the models that are trained and the slots of their servers.
	Demand func() batch.Demand
	// EarlyGeneration makes jobs begin while they can't be stored.
	EarlyGeneration bool
	// RouteInForce reports whether the configuration in force has the route of a job; nil if it is not to be checked.
	RouteInForce func(spec *batch.Job) bool
	// Region returns the region of an availability zone; nil if no job is restricted to regions.
	Region  func(zone string) string
	Metrics *Metrics
	Log     zerolog.Logger
}

// NewManager returns a manager whose work ends with ctx; other entries call it through the registry.
func NewManager(ctx context.Context, deps Deps, registry *peer.Registry) *Manager {
	m := &Manager{
		ctx:          ctx,
		store:        deps.Store,
		balancer:     deps.Balancer,
		servers:      deps.Servers,
		calls:        deps.Calls,
		route:        deps.Route,
		peers:        deps.Peers,
		members:      deps.Members,
		outage:       deps.Outage,
		storeReached: deps.StoreReached,
		demand:       deps.Demand,
		region:       deps.Region,
		metrics:      deps.Metrics,
		log:          deps.Log,
		lengths:      length.NewEstimator(),
		serverEnds:   batch.NewEndTracker(),
		probes:       serverProbes{client: deps.Servers, recent: map[netip.AddrPort]*serverProbe{}},
		jobs:         map[string]*job{},
		owners:       map[string]owner{},
		lastOwners:   map[string]owner{},
		ended:        map[string]time.Time{},
		reopened:     map[string]bool{},
		reruns:       map[string]bool{},
		lostAnswers:  map[string]time.Time{},
		started:      time.Now(),
	}
	if deps.EarlyGeneration {
		m.early = newEarlyJobs(deps.RouteInForce)
		peer.Handle(registry, MethodBegin, m.handleBegin)
	}
	m.register(registry)
	return m
}

func (m *Manager) register(registry *peer.Registry) {
	peer.Handle(registry, MethodRead, m.handleRead)
	peer.Handle(registry, MethodBody, m.handleBody)
	peer.Handle(registry, MethodEnd, m.handleEnd)
	peer.Handle(registry, MethodRun, func(ctx context.Context, q RunRequest) (RunAnswer, error) {
		return RunAnswer{}, m.handleRun(ctx, q)
	})
}

// Wait returns once all goroutines have ended, which happens after the context has ended.
func (m *Manager) Wait() {
	m.handovers.Wait()
	m.wg.Wait()
}

func (m *Manager) find(id string) (*job, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	j, ok := m.jobs[id]
	return j, ok
}

func notFound(id string) error {
	return verdict.Refuse(verdict.NotRun, verdict.ReasonNotFound, 0, "%s is not known", id)
}

func isNotFound(err error) bool { return verdict.From(err).Reason == verdict.ReasonNotFound }

// outageRefusal refuses a call because no entry reaches the store.
func outageRefusal() error {
	return verdict.Refuse(verdict.NotRun, verdict.ReasonPlatformUnavailable, outageRetryAfter, "no entry reaches the store")
}

// storeRefusal refuses a call because a call to the store failed.
func storeRefusal(err error) error {
	outcome := verdict.NotRun
	if errors.Is(err, product.ErrOutcomeUnknown) {
		outcome = verdict.MayHaveRun
	}
	return verdict.Refuse(outcome, verdict.ReasonPlatformUnavailable, storeRetryAfter, "%v", err)
}
