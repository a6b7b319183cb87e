// Package batchjob accepts, runs, lists and ends batch jobs over the platform's store. The decisions are those of core/batch.
//
// A job, the pages of its results and its end are objects of the store, each created once. Which entry runs a job is a
// matter of liveness only: the one that accepted it, or one that is asked for results of a job that no living entry runs.
package batchjob

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/core/routing"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/call"
	"github.com/oleandershelf/oleandershelf/internal/edge/exchange"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	product "github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// Kinds of the objects that batch jobs are kept in.
const (
	KindJobs  = "jobs"
	KindPages = "pages"
	KindEnds  = "ends"
)

const (
	// storeRetry is when a caller should come back if the store can't be reached; its outages take seconds.
	storeRetry = time.Second
	// outageRetry is when to come back while no entry reaches the store: a refusal costs nothing, and the step waits.
	outageRetry = 500 * time.Millisecond
	// endedTime is for how long others are told that a job ended: many beats. It is remembered for endedMemory.
	endedTime   = 10 * time.Second
	endedMemory = 3 * time.Minute
	// keepTime is how long a job that isn't run or read stays in memory. Results are read again for minutes after a job's
	// end, and to have them anew costs a call to the store for each page.
	keepTime = 2 * time.Minute
	// keepMost is how many jobs that are over stay in memory at most, bodies included. Bodies are asked for until the end of a job, and had anew
	// they cost a read of the store each.
	keepMost = 24
	// settleTime bounds how long a lost answer to an acceptance is looked into; the store may carry a call out seconds late.
	settleTime  = 8 * time.Second
	settlePause = 500 * time.Millisecond
	// askTime bounds a question to another entry on a caller's behalf, beside the wait that it asks for: entries answer within milliseconds,
	// and an entry that is frozen and not noticed yet must leave time to answer without it.
	askTime = 600 * time.Millisecond
)

// Store is the platform's store as far as batch jobs need it.
type Store interface {
	Get(ctx context.Context, kind, name string) (product.Object, error)
	Create(ctx context.Context, kind, name string, value json.RawMessage) (product.Version, error)
	List(ctx context.Context, kind string) ([]product.Object, product.Version, error)
	Delete(ctx context.Context, kind, name string, version product.Version) error
}

// Members are the other entries.
type Members interface {
	Self() gossip.Member
	Find(now time.Time, hostID string) (gossip.Member, bool)
	Alive(now time.Time) []gossip.Member
}

// Manager keeps the batch jobs of an entry. It is safe for concurrent use.
type Manager struct {
	ctx     context.Context
	store   Store
	book    *backend.Book
	servers *exchange.Client
	calls   *call.Sender
	route   func(host, path string) (routing.Route, bool)
	peers   *peer.Client
	members Members
	outage  func(now time.Time) bool
	demand  func() batch.Demand
	metrics *Metrics
	log     zerolog.Logger
	work    conc.WaitGroup

	mu   sync.Mutex
	jobs map[string]*job
	// owners are the entries that run a job, as they or others said.
	owners map[string]owner
	// keepers are entries that ran a job and still have its results.
	keepers map[string]owner
	ended   map[string]time.Time
	// reopened are jobs that were open before this process was started and have been looked into, in the first seconds after that.
	reopened map[string]bool
	started  time.Time
	// leaving is set once the process hands its jobs over.
	leaving bool
}

// Deps is what a manager stands on.
type Deps struct {
	Store   Store
	Book    *backend.Book
	Servers *exchange.Client
	// Calls sends reward calls, and Route finds the route of one in the configuration in force.
	Calls   *call.Sender
	Route   func(host, path string) (routing.Route, bool)
	Peers   *peer.Client
	Members Members
	// Outage says whether the store is known to be out of every entry's reach.
	Outage func(now time.Time) bool
	// Demand returns what is trained.
	Demand  func() batch.Demand
	Metrics *Metrics
	Log     zerolog.Logger
}

// NewManager returns a manager whose work ends with ctx; it serves other entries through the registry.
func NewManager(ctx context.Context, deps Deps, registry *peer.Registry) *Manager {
	m := &Manager{
		ctx:      ctx,
		store:    deps.Store,
		book:     deps.Book,
		servers:  deps.Servers,
		calls:    deps.Calls,
		route:    deps.Route,
		peers:    deps.Peers,
		members:  deps.Members,
		outage:   deps.Outage,
		demand:   deps.Demand,
		metrics:  deps.Metrics,
		log:      deps.Log,
		jobs:     map[string]*job{},
		owners:   map[string]owner{},
		keepers:  map[string]owner{},
		ended:    map[string]time.Time{},
		reopened: map[string]bool{},
		started:  time.Now(),
	}
	m.register(registry)
	return m
}

func (m *Manager) register(registry *peer.Registry) {
	peer.Handle(registry, MethodRead, m.readFor)
	peer.Handle(registry, MethodBody, m.bodyFor)
	peer.Handle(registry, MethodEnd, m.endFor)
	peer.Handle(registry, MethodRun, func(ctx context.Context, q RunRequest) (RunAnswer, error) {
		return RunAnswer{}, m.runFor(ctx, q)
	})
}

// Wait returns once all goroutines have ended, after the context has.
func (m *Manager) Wait() { m.work.Wait() }

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

// outageRefusal tells a caller that the store is out of every entry's reach.
func outageRefusal() error {
	return verdict.Refuse(verdict.NotRun, verdict.ReasonPlatformUnavailable, outageRetry, "no entry reaches the store")
}

// storeRefusal tells a caller that the store could not be asked.
func storeRefusal(err error) error {
	outcome := verdict.NotRun
	if errors.Is(err, product.ErrUnsettled) {
		outcome = verdict.MayHaveRun
	}
	return verdict.Refuse(outcome, verdict.ReasonPlatformUnavailable, storeRetry, "%v", err)
}
