package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

const (
	hostName     = "desk.example"
	organisation = "north"
	model        = "m"
	processes    = 3
	servers      = 3
	// routeTimeout is the longest time to answer of a route.
	routeTimeout = 3 * time.Second
	// mendTime is how long a run may take until all is well again after its last disturbance.
	mendTime = 40 * time.Second
	poll     = 50 * time.Millisecond
	// itemEvents is how many events the output of an item has, eventPause the time between two of them.
	itemEvents = 12
	eventPause = 15 * time.Millisecond
)

func entryName(n int) string   { return fmt.Sprintf("entry-%d", n) }
func serviceName(n int) string { return fmt.Sprintf("desk-%d", n) }
func engineName(n int) string  { return fmt.Sprintf("engine-%d", n) }

// world is the platform's stand-ins with the processes before them.
type world struct {
	ctx       context.Context
	ledger    *ledger
	store     *platformtest.Store
	duties    *platformtest.UsageReceiver
	services  []*platformtest.Server
	engines   []*platformtest.Server
	processes []*process

	mu      sync.Mutex
	version int
	weights int
	// key is the one in force for the organisation, retired holds the former ones with the time of their withdrawal.
	key     string
	retired map[string]time.Time
	// isolated are the times at which a process could not hear the others or the store.
	isolated []span
}

// newWorld starts the stand-ins and the processes, which end by the cleaner.
func newWorld(ctx context.Context, o Options, c platformtest.Cleaner) (*world, error) {
	w := &world{
		ctx: ctx, ledger: newLedger(), store: platformtest.NewStore(c), duties: platformtest.NewUsageReceiver(c), weights: 1, retired: map[string]time.Time{},
	}
	for i := range servers {
		w.services = append(w.services, platformtest.NewServer(c, serviceName(i), "desk", nil))
		w.engines = append(w.engines, platformtest.NewServer(c, engineName(i), "engines", map[string]int{model: 1}))
		w.engines[i].SetStream(itemEvents, eventPause)
	}
	w.newKey()
	for _, server := range w.all() {
		w.calm(server)
		w.store.Register(server, false)
	}
	seed := platformtest.UnusedAddress()
	for i := range processes {
		advertised := seed
		if i > 0 {
			advertised = platformtest.UnusedAddress()
		}
		p, err := w.newProcess(entryName(i), o, seed, advertised, c)
		if err != nil {
			return nil, err
		}
		w.processes = append(w.processes, p)
	}
	for _, p := range w.processes {
		w.start(p)
	}
	for _, p := range w.processes {
		w.until(p.name+" is ready", func() bool { return w.isReady(p) })
	}
	return w, nil
}

func (w *world) all() []*platformtest.Server {
	return append(append([]*platformtest.Server{}, w.services...), w.engines...)
}

// newKey gives the organisation another key and withdraws the former one.
func (w *world) newKey() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	former := w.key
	w.key = fmt.Sprintf("key-%d", w.version)
	w.store.Configure(w.version, hostName, model, []platformtest.Route{
		{Name: "safe", Kind: platformtest.Idempotent, Pool: "desk", Timeout: routeTimeout},
		{Name: "once", Kind: platformtest.Once, Pool: "desk", Timeout: routeTimeout},
		{Name: "job", Kind: platformtest.BatchJobs, Pool: "engines", Timeout: routeTimeout},
	}, map[string][]string{organisation: {w.key}})
	if former != "" {
		w.retired[former] = time.Now()
	}
}

func (w *world) currentKey() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.key
}

// newProcess prepares a process that others reach at the advertised address, through its link.
func (w *world) newProcess(name string, o Options, seed, advertised netip.AddrPort, c platformtest.Cleaner) (*process, error) {
	callers, peers, admin := platformtest.UnusedAddress(), platformtest.UnusedAddress(), platformtest.UnusedAddress()
	p := &process{
		name: name, program: o.Program, callers: "http://" + callers.String(), ready: "http://" + admin.String() + "/readyz",
		door: w.store.NewEndpoint(c), settings: filepath.Join(o.Folder, name+".json"),
	}
	settings, err := json.Marshal(map[string]any{
		"hostId": name, "availabilityZone": "north-a", "listen": callers, "peerListen": peers, "peerAdvertise": advertised, "adminListen": admin,
		"platformUrl": p.door.URL(), "reportsUrl": w.duties.URL(), "seeds": []netip.AddrPort{seed}, "usageWindow": "1s",
		"leaveDelay": "500ms", "drainTime": "6s", "peerSecret": "the secret of the soak",
	})
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	if err := os.WriteFile(p.settings, settings, 0o600); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	if p.log, err = os.Create(filepath.Join(o.Folder, name+".log")); err != nil {
		return nil, errors.Wrap(err, "log")
	}
	if p.link, err = newLink(w.ctx, advertised, peers); err != nil {
		return nil, errors.Wrap(err, "link")
	}
	c.Cleanup(p.close)
	return p, nil
}

// start starts a process that doesn't run.
func (w *world) start(p *process) {
	err := p.start()
	w.ledger.check(promiseComesRight, err == nil, "%s starts: %v", p.name, err)
}

func (w *world) isReady(p *process) bool {
	ctx, cancel := context.WithTimeout(w.ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.ready, nil)
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

// until waits until something holds that must come true.
func (w *world) until(what string, holds func() bool) {
	ctx, cancel := context.WithTimeout(w.ctx, mendTime)
	defer cancel()
	held := holds()
	for !held && ticker.Sleep(ctx, poll) {
		held = holds()
	}
	w.ledger.check(promiseComesRight, held || w.ctx.Err() != nil, "not within %v: %s", mendTime, what)
}
