// Package harness starts gateways as separate processes in front of stand-ins, for the scripts of the review.
package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

// The exit statuses of a script.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

const (
	runTimeout   = 110 * time.Second
	readyTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	// stopTimeout is how long a gateway has to end after SIGKILL.
	stopTimeout = 5 * time.Second
)

// The names of the small deployment.
const (
	Host         = "desk.example"
	Organisation = "north"
	Key          = "key-of-north"
	Model        = "drafts"
	EnginePool   = "draftmodel"
	ServicePool  = "billdesk"
	JobPrefix    = "/rollout/"
	CallPrefix   = "/fees/"
)

// Env is the deployment of a script.
type Env struct {
	// Trouble is false if the script is to run without its disturbance.
	Trouble  bool
	Gateways []*Gateway
	Store    *platformtest.Store
	Cleanups platformtest.Cleanups

	ctx     context.Context
	folder  string
	usage   *platformtest.UsageReceiver
	started time.Time
	mu      sync.Mutex
	record  *os.File
}

// Gateway is a gateway process.
type Gateway struct {
	Name, URL string

	ready    string
	settings string
	command  *exec.Cmd
	exited   chan struct{}
}

// Main runs a script, and exits the process with its status. Run reports whether the rule held; an error says that the case could not run.
func Main(gateways int, run func(ctx context.Context, env *Env) (bool, error)) {
	os.Exit(execute(gateways, run))
}

func execute(gateways int, run func(ctx context.Context, env *Env) (bool, error)) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	env, err := newEnv(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer env.close()
	if err := env.startGateways(gateways); err != nil {
		env.Record("the case could not run: %v", err)
		return statusNotRun
	}
	held, err := run(ctx, env)
	switch {
	case err != nil:
		env.Record("the case could not run: %v", err)
		return statusNotRun
	case !held:
		env.Record("the rule was broken")
		return statusBroken
	default:
		env.Record("the rule held")
		return statusHeld
	}
}

func newEnv(ctx context.Context) (*Env, error) {
	env := &Env{Trouble: os.Getenv("TROUBLE") != "0", ctx: ctx, started: time.Now()}
	var err error
	if env.record, err = os.Create(os.Getenv("RECORD")); err != nil {
		return nil, errors.Wrap(err, "RECORD")
	}
	if env.folder, err = os.MkdirTemp("", "review"); err != nil {
		return nil, errors.Wrap(err, "temporary folder")
	}
	env.Cleanups.Cleanup(func() { _ = os.RemoveAll(env.folder) })
	env.Store = platformtest.NewStore(&env.Cleanups)
	env.usage = platformtest.NewUsageReceiver(&env.Cleanups)
	env.Configure(1)
	env.Record("trouble: %v", env.Trouble)
	return env, nil
}

func (env *Env) close() {
	env.Cleanups.Run()
	_ = env.record.Close()
}

// Record writes a line with the time since the start to the record.
func (env *Env) Record(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(env.started).Seconds(), fmt.Sprintf(format, args...))
	env.mu.Lock()
	defer env.mu.Unlock()
	_, _ = env.record.WriteString(line)
}

// Configure writes a version of the manifest.
func (env *Env) Configure(version int) {
	rollouts := named("rollouts", map[string]any{
		"host": Host, "path_prefix": JobPrefix, "kind": "weight_rollout", "timeout_ms": 10000, "target_latency_ms": 400, "priority": 0,
		"service": EnginePool, "max_attempts": 3, "queue_ttl_s": 40.0, "result_deadline_ms": 7500, "single_version": false, "public": false,
		"sticky": true, "resumable": true,
	})
	fees := named("fees", map[string]any{
		"host": Host, "path_prefix": CallPrefix, "kind": "safe", "timeout_ms": 5000, "target_latency_ms": 2000, "priority": 2,
		"service": ServicePool, "max_attempts": 2, "public": false,
	})
	engines := named(EnginePool, map[string]any{
		"health_path": "/health", "max_conns": 150, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": slots, "stride": 51, "models": []any{named(Model, map[string]any{})}},
	})
	services := named(ServicePool, map[string]any{"health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false})
	env.Store.Put("config", "main", map[string]any{
		"version": version, "routes": []any{rollouts, fees}, "services": []any{engines, services},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants": []any{named(Organisation, map[string]any{"api_keys": []string{Key}})},
	})
}

// named returns the fields of an object with its name.
func named(name string, fields map[string]any) map[string]any {
	fields["name"] = name
	return fields
}

// Zone returns the availability zone of the n-th machine.
func Zone(n int) string { return "zone-" + string(rune('a'+n%3)) }

func (env *Env) startGateways(count int) error {
	peers := make([]netip.AddrPort, count)
	for i := range peers {
		peers[i] = platformtest.UnusedAddress()
	}
	for i := range count {
		g, err := env.newGateway(i, peers)
		if err != nil {
			return err
		}
		env.Gateways = append(env.Gateways, g)
		if err := env.start(g); err != nil {
			return err
		}
	}
	for _, g := range env.Gateways {
		if !env.WaitUntil(readyTimeout, func() bool { return g.isReady(env.ctx) }) {
			return errors.Errorf("%s is not ready", g.Name)
		}
	}
	env.Record("%d gateways are ready", count)
	return nil
}

// newGateway writes the settings of a gateway, with the values of deploy/gateway.json.
func (env *Env) newGateway(n int, peers []netip.AddrPort) (*Gateway, error) {
	caller, admin := platformtest.UnusedAddress(), platformtest.UnusedAddress()
	g := &Gateway{
		Name: fmt.Sprintf("front-%s-%d", Zone(n), n/3+1), URL: "http://" + caller.String(), ready: "http://" + admin.String() + "/readyz",
	}
	settings, err := json.Marshal(map[string]any{
		"hostId": g.Name, "availabilityZone": Zone(n), "regions": map[string]string{Zone(0): "region", Zone(1): "region", Zone(2): "region"},
		"listen": caller, "adminListen": admin, "peerListen": peers[n], "seeds": peers[:min(3, len(peers))],
		"platformUrl": "http://" + storeAddress(env.Store, &env.Cleanups), "reportsUrl": env.usage.URL(), "processorCores": 0.304,
		"usageWindow": "5s", "drainTime": "8s", "leaveDelay": "3s", "peerSecret": "oleandershelf-platform-network",
		"earlyGeneration": "on", "bodyLimitBytes": 33554432, "speedPlacement": "auto", "logLevel": "info",
	})
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	g.settings = filepath.Join(env.folder, g.Name+".json")
	return g, errors.Wrap(os.WriteFile(g.settings, settings, 0o600), "settings")
}

// storeAddress returns the address of an endpoint of the store.
func storeAddress(store *platformtest.Store, c platformtest.Cleaner) string {
	return store.NewEndpoint(c).URL()[len("http://"):]
}

// start starts a gateway as the deploy file does.
func (env *Env) start(g *Gateway) error {
	log, err := os.Create(filepath.Join(env.folder, g.Name+".log"))
	if err != nil {
		return errors.Wrap(err, "log")
	}
	if folder := os.Getenv("GATEWAY_LOGS"); folder != "" {
		if log, err = os.Create(filepath.Join(folder, g.Name+".log")); err != nil {
			return errors.Wrap(err, "log")
		}
	}
	command := exec.CommandContext(env.ctx, os.Getenv("PROGRAM"), "gateway", "--settings", g.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrap(err, g.Name)
	}
	g.command, g.exited = command, make(chan struct{})
	go func() {
		defer close(g.exited)
		_ = command.Wait()
		_ = log.Close()
	}()
	env.Cleanups.Cleanup(g.stop)
	return nil
}

// stop kills the process and waits until it has ended.
func (g *Gateway) stop() {
	_ = g.command.Process.Kill()
	select {
	case <-g.exited:
	case <-time.After(stopTimeout):
	}
}

func (g *Gateway) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, g.ready, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// WaitUntil waits until the condition holds; false if it doesn't within the timeout.
func (env *Env) WaitUntil(timeout time.Duration, condition func() bool) bool {
	ctx, cancel := context.WithTimeout(env.ctx, timeout)
	defer cancel()
	for !condition() {
		if !ticker.Sleep(ctx, pollInterval) {
			return condition()
		}
	}
	return true
}

// Pause waits; false if the time of the script is over before.
func (env *Env) Pause(d time.Duration) bool { return ticker.Sleep(env.ctx, d) }
