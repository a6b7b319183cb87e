// Package engine is a small stand-in for a model engine. It streams deterministic tokens marked
// with the model version, batches requests in a limited number of slots, caches prompt prefixes,
// reports its load and cache with a lag, accepts weight orders, and injects faults on demand.
package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/edge/backendserver"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/standin/web"
)

// Defaults of an engine. They are small, so that tests and the demo finish quickly.
const (
	DefaultSlots       = 8
	DefaultQueue       = 32
	DefaultTokenTime   = 2 * time.Millisecond
	DefaultBatchGrowth = 0.1
	DefaultPrefillTime = 4 * time.Millisecond
	DefaultCacheSize   = 64
	DefaultLag         = 200 * time.Millisecond
	DefaultLoadTime    = 50 * time.Millisecond
	DefaultVersion     = 1
)

// Faults are the injected faults; the zero value is a healthy engine.
type Faults struct {
	// Crashed cuts all streams when it is set, and every call while it is set.
	Crashed bool `json:"crashed"`
	// Stalled stops all streams without closing them.
	Stalled bool `json:"stalled"`
	// CutAfterTokens cuts each answer after this many tokens; 0 is never.
	CutAfterTokens int `json:"cutAfterTokens"`
	// SlowFactor multiplies the time per token; 0 is 1.
	SlowFactor float64 `json:"slowFactor"`
	// FailSwaps fails orders to switch the weights, and leaves the current ones in use.
	FailSwaps bool `json:"failSwaps"`
	// IgnoreFencing accepts orders with an outdated fencing number.
	IgnoreFencing bool `json:"ignoreFencing"`
	// LoseCacheEvents loses every n-th cache event; 0 is none.
	LoseCacheEvents int `json:"loseCacheEvents"`
}

// State is a snapshot of the engine for tests and debugging.
type State struct {
	Version    int                         `json:"version"`
	Prefetched []int                       `json:"prefetched"`
	Fencing    platform.Version            `json:"fencing"`
	Orders     []backendserver.WeightOrder `json:"orders"`
	Refused    int                         `json:"refusedOrders"`
	Running    int                         `json:"running"`
	Queued     int                         `json:"queued"`
	Generated  int                         `json:"generatedTokens"`
	Started    map[string]int              `json:"startedSamples"`
	CacheHits  int                         `json:"cacheHits"`
	Faults     Faults                      `json:"faults"`
}

// Server is one engine.
type Server struct {
	*web.Server
	tokenTime   time.Duration
	batchGrowth float64
	prefillTime time.Duration
	loadTime    time.Duration
	// timeFactor is how long work lastingly takes, divided by the usual time.
	timeFactor float64
	// slowdown and reported are set by WithSlowdown.
	slowdown, reported func(at time.Time) float64
	store              *backendserver.WeightStore

	mutex         sync.Mutex
	faults        Faults
	faultsChanged chan struct{}
	batch         *batch
	cache         *cache
	loadHistory   *loadHistory
	weights       weights
	samples       samples
	generated     int
}

// Option configures an engine.
type Option func(*Server)

// WithSlots sets how many requests can run at once, and how many can wait.
func WithSlots(slots, queue int) Option {
	return func(s *Server) { s.batch = newBatch(slots, queue) }
}

// WithTokenTime sets the time per token, and the fraction by which it grows with each further request in the batch.
func WithTokenTime(base time.Duration, batchGrowth float64) Option {
	return func(s *Server) { s.tokenTime, s.batchGrowth = base, batchGrowth }
}

// WithTimeFactor sets how long work lastingly takes at the engine, divided by the usual time: with 0.5 it takes half of it.
func WithTimeFactor(factor float64) Option {
	return func(s *Server) { s.timeFactor = factor }
}

// WithSlowdown sets the factor by which work takes longer at the moment, such as on a host shared with other tenants, and the factor that
// the engine reports; 1 is usual. The two differ if the engine is to report a false one. Nil is no slowdown, and no report.
func WithSlowdown(actual, reported func(at time.Time) float64) Option {
	return func(s *Server) { s.slowdown, s.reported = actual, reported }
}

// WithPrefillTime sets the processing time of a prompt whose prefix is not cached.
func WithPrefillTime(prefill time.Duration) Option {
	return func(s *Server) { s.prefillTime = prefill }
}

// WithCache sets the number of prefixes in the cache and the lag of its events.
func WithCache(size int, lag time.Duration) Option {
	return func(s *Server) { s.cache = newCache(size, lag) }
}

// WithLoadLag sets the lag of the load report.
func WithLoadLag(lag time.Duration) Option {
	return func(s *Server) { s.loadHistory = newLoadHistory(lag) }
}

// WithVersion sets the model version at the start.
func WithVersion(version int) Option {
	return func(s *Server) { s.weights = newWeights(version) }
}

// WithWeightStore fetches weights from the store at the URL. Without it, loading weights only takes the load time.
func WithWeightStore(url string) Option {
	return func(s *Server) { s.store = backendserver.NewWeightStore(url) }
}

// WithLoadTime sets the time that loading weights takes in addition to the fetch.
func WithLoadTime(loadTime time.Duration) Option {
	return func(s *Server) { s.loadTime = loadTime }
}

// New serves an engine on the listener until ctx ends.
func New(ctx context.Context, listener net.Listener, opts ...Option) (*Server, error) {
	server := &Server{
		Server:        web.NewServer(ctx, listener),
		tokenTime:     DefaultTokenTime,
		batchGrowth:   DefaultBatchGrowth,
		prefillTime:   DefaultPrefillTime,
		loadTime:      DefaultLoadTime,
		timeFactor:    1,
		faultsChanged: make(chan struct{}),
		batch:         newBatch(DefaultSlots, DefaultQueue),
		cache:         newCache(DefaultCacheSize, DefaultLag),
		loadHistory:   newLoadHistory(DefaultLag),
		weights:       newWeights(DefaultVersion),
		samples:       newSamples(),
	}
	for _, opt := range opts {
		opt(server)
	}
	server.recordLoad()
	app := web.NewApp()
	web.HandleFaults(app, server.currentFaults, server.SetFaults, server.cutOnCrash)
	web.HandleState(app, server.State)
	app.Use(server.cutWhileCrashed)
	app.Post(backendserver.PathGenerate, server.generate)
	app.Get(backendserver.PathLoad, server.reportLoad)
	app.Post(backendserver.PathOrders, server.order)
	app.Post(backendserver.PathCancel, server.cancel)
	app.Get(backendserver.PathCacheEvents, server.cacheEvents)
	server.Serve(app)
	return server, nil
}

// Close stops the engine and waits until it has stopped.
func (s *Server) Close() {
	s.Server.Close()
	if s.store != nil {
		s.store.Close()
	}
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// State returns a snapshot of the engine.
func (s *Server) State() State {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return State{
		Version:    s.weights.version,
		Prefetched: s.weights.prefetchedVersions(),
		Fencing:    s.weights.fencing,
		Orders:     s.weights.orders,
		Refused:    s.weights.refused,
		Running:    s.batch.running,
		Queued:     len(s.batch.waiting),
		Generated:  s.generated,
		Started:    s.samples.copyStarted(),
		CacheHits:  s.cache.hits,
		Faults:     s.faults,
	}
}

func (s *Server) currentFaults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// cutOnCrash cuts all other connections if the new faults include a crash. The request that set the faults is still answered.
func (s *Server) cutOnCrash(c fiber.Ctx, faults Faults) {
	if faults.Crashed {
		s.CutOtherConnections(c)
	}
}

// cutWhileCrashed cuts every call while the crash fault is set.
func (s *Server) cutWhileCrashed(c fiber.Ctx) error {
	if s.currentFaults().Crashed {
		return web.CutAnswer(c)
	}
	return c.Next()
}

func (s *Server) reportLoad(c fiber.Ctx) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	load := s.loadHistory.delayed(now)
	if s.reported != nil {
		load.Slowdown = s.reported(now)
	}
	return c.JSON(load)
}

func (s *Server) cancel(c fiber.Ctx) error {
	var req backendserver.CancelRequest
	if !web.Decode(c, &req) {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.samples.cancel(req.SampleID)
	return c.JSON(struct{}{})
}

func (s *Server) cacheEvents(c fiber.Ctx) error {
	after, err := strconv.ParseUint(c.Query(backendserver.QueryAfter, "0"), 10, 64)
	if err != nil {
		return c.SendStatus(http.StatusBadRequest)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	events := s.cache.published(time.Now(), after, s.faults.LoseCacheEvents)
	return c.JSON(backendserver.CacheEventList{Events: events})
}

// order carries out a weight order and responds when it has taken effect.
func (s *Server) order(c fiber.Ctx) error {
	var order backendserver.WeightOrder
	if !web.Decode(c, &order) {
		return nil
	}
	s.mutex.Lock()
	accepted := s.weights.accept(order, s.faults.IgnoreFencing)
	loaded := s.weights.has(order.Version)
	s.mutex.Unlock()
	if !accepted {
		return c.SendStatus(http.StatusPreconditionFailed)
	}
	if !loaded {
		if err := s.loadWeights(order.Weights); err != nil {
			return c.Status(http.StatusFailedDependency).SendString(err.Error())
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if order.Kind == backendserver.OrderSwitch && s.faults.FailSwaps {
		return c.SendStatus(http.StatusFailedDependency)
	}
	s.weights.apply(order)
	s.recordLoadLocked()
	return c.JSON(struct{}{})
}

func (s *Server) loadWeights(name string) error {
	if s.store != nil {
		if _, err := s.store.Fetch(s.Context(), name, io.Discard); err != nil {
			return err
		}
	}
	return sleep(s.Context(), s.loadTime)
}

func (s *Server) generate(c fiber.Ctx) error {
	var req backendserver.GenerateRequest
	if !web.Decode(c, &req) {
		return nil
	}
	s.mutex.Lock()
	entry, ok := s.batch.admit(req.Priority)
	s.recordLoadLocked()
	s.mutex.Unlock()
	if !ok {
		c.Set(fiber.HeaderRetryAfter, "1")
		return c.SendStatus(http.StatusServiceUnavailable)
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	return c.SendStream(newStream(s, req, entry), -1)
}

// sleep waits for the duration. It returns the error of ctx if that ends first.
func sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	case <-timer.C:
		return nil
	}
}
