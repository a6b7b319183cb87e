// Package entry serves callers, trainers and operators over HTTP. It authenticates and admits each request, sends it
// to an agent, and reports whether a request that got no answer has run.
package entry

import (
	"cmp"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/admission"
	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/edge/callerconn"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// Limits of the caller interface.
const (
	DefaultRequestTimeout = time.Minute
	MaxRequestTimeout     = 30 * time.Minute
	idleTimeout           = 90 * time.Second
	// defaultReadTimeout is long enough for a body of 16 MB at 3 Mbit/s, and within the default drain time.
	defaultReadTimeout = time.Minute
	// keepAliveGrace is how long idle keep-alive connections may stay open once no request is running.
	keepAliveGrace = time.Second
)

// Views provides the configuration in force on this host.
type Views interface {
	View() *ticket.View
	// Fresh reports whether this host would learn within seconds of a key that is withdrawn elsewhere.
	Fresh(now time.Time) bool
	Changed() <-chan struct{}
}

// Tickets applies operators' tickets and reports their status.
type Tickets interface {
	Apply(ctx context.Context, number int, t ticket.Ticket) error
	Status(ctx context.Context, number int) (any, error)
}

// Routes registers the routes of another component, such as the trainer API.
type Routes interface {
	RegisterHTTP(app *fiber.App)
}

// Deps holds the dependencies of an entry.
type Deps struct {
	Views       Views
	Tickets     Tickets
	Admission   *admission.Controller
	RefusedLoad *admission.RefusedLoad
	Dispatcher  *Dispatcher
	Store       platform.Store
	Trainers    Routes
	Log         zerolog.Logger
}

// Config holds the settings of an entry.
type Config struct {
	HostID            string
	BodyLimitBytes    int
	OperatorKeyHashes []string
	Incarnation       uint64
	// ReadTimeout bounds the time to receive a request, from its first byte to its last; 0 means the default.
	ReadTimeout time.Duration
}

// Entry is the HTTP server of an entry host.
type Entry struct {
	config       Config
	deps         Deps
	app          *fiber.App
	deduplicator *deduplicator
	metrics      *Metrics
	wg           conc.WaitGroup
	// running counts callers' requests until their last byte, streams and background work included.
	running atomic.Int64
	// stop is set once the host is leaving.
	stop atomic.Pointer[admission.PlannedStop]
}

// New returns an entry that serves the callers of an account on l until ctx ends or Drain is called.
func New(ctx context.Context, l net.Listener, account *callerconn.Account, config Config, deps Deps, metrics *Metrics) *Entry {
	e := &Entry{config: config, deps: deps, metrics: metrics}
	e.deduplicator = newDeduplicator(deps.Store, config, e.background)
	e.app = fiber.New(fiber.Config{
		// Fiber reuses its buffers: without copies, a string retained after its handler returns would change into part of
		// another caller's request.
		Immutable:    true,
		BodyLimit:    config.BodyLimitBytes,
		ErrorHandler: e.onError,
		IdleTimeout:  idleTimeout,
		// Otherwise a connection that dies in the middle of a request would stay open, and hold up a drain, forever.
		ReadTimeout: cmp.Or(config.ReadTimeout, defaultReadTimeout),
		// Token streams are written for minutes; they end at the request's deadline.
		WriteTimeout: MaxRequestTimeout,
		// A form is forwarded byte for byte. The library would parse it, and write its fields in another order.
		DisablePreParseMultipartForm: true,
	})
	e.registerRoutes()
	callerconn.Serve(ctx, &e.wg, e.app, callerconn.NewListener(l, account, deps.Log), keepAliveGrace, deps.Log)
	e.wg.Go(func() { e.followOrganisations(ctx) })
	return e
}

func (e *Entry) registerRoutes() {
	e.app.Server().Handler = e.refuseUnknownMethods(e.app.Server().Handler)
	e.app.Use(e.countRunning, refuseEncodedBodies)
	e.app.All("/v1/services/:pool/*", e.service)
	e.app.Post("/v1/models/:model/generate", e.generate)
	e.app.Post("/v1/tickets/:number", e.applyTicket)
	e.app.Get("/v1/tickets/:number", e.showTicket)
	if e.deps.Trainers != nil {
		e.deps.Trainers.RegisterHTTP(e.app)
	}
}

// countRunning counts the running requests, and closes keep-alive connections once the host is leaving.
func (e *Entry) countRunning(c fiber.Ctx) error {
	e.running.Add(1)
	defer e.running.Add(-1)
	callerconn.Serving(c.RequestCtx().Conn())
	if e.stop.Load() != nil {
		c.Set(fiber.HeaderConnection, "close")
	}
	return c.Next()
}

// background runs work that outlives its request. Drain waits for it as for a request.
func (e *Entry) background(work func()) {
	e.running.Add(1)
	e.wg.Go(func() {
		defer e.running.Add(-1)
		work()
	})
}

// followOrganisations passes every new configuration to admission.
func (e *Entry) followOrganisations(ctx context.Context) {
	for {
		changed := e.deps.Views.Changed()
		e.deps.Admission.Configure(e.deps.Views.View().Organisations(), e.deps.Dispatcher.entries())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(organisationRefreshInterval):
		}
	}
}

// organisationRefreshInterval is how often the number of live entries is read again, since rate limits are divided
// among them.
const organisationRefreshInterval = 5 * time.Second

// Drain stops the entry without cutting off a request. It keeps serving for leaveDelay while the load balancer learns
// that the host is leaving, then accepts no new connections, refuses requests whose deadline is later than that of ctx,
// and waits until ctx ends for the requests that are running. It returns an error if some are still running then.
func (e *Entry) Drain(ctx context.Context, leaveDelay time.Duration) error {
	end, _ := ctx.Deadline()
	e.stop.Store(&admission.PlannedStop{AcceptUntil: time.Now().Add(leaveDelay), End: end})
	ticker.Sleep(ctx, leaveDelay)
	err := e.app.ShutdownWithContext(ctx)
	for e.running.Load() > 0 {
		if !ticker.Sleep(ctx, drainPollInterval) {
			return errors.Errorf("entry %s: %d requests still running at the end of the drain", e.config.HostID, e.running.Load())
		}
	}
	return err
}

const drainPollInterval = 20 * time.Millisecond

// Wait returns once all goroutines of the entry have ended.
func (e *Entry) Wait() { e.wg.Wait() }

// State is the debug state of an entry.
type State struct {
	HostID   string `json:"hostId"`
	Running  int64  `json:"running"`
	Leaving  bool   `json:"leaving"`
	Revision uint64 `json:"revision"`
	Ticket   int    `json:"ticket"`
	Fresh    bool   `json:"fresh"`
}

// State returns the debug state, which contains no keys.
func (e *Entry) State() any {
	view := e.deps.Views.View()
	return State{
		HostID:   e.config.HostID,
		Running:  e.running.Load(),
		Leaving:  e.stop.Load() != nil,
		Revision: view.Revision(),
		Ticket:   view.LastTicket(),
		Fresh:    e.deps.Views.Fresh(time.Now()),
	}
}
