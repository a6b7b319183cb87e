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
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/internal/program/binary"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

const (
	hostName       = "desk.example"
	organisation   = "north"
	model          = "m"
	processCount   = 3
	serversPerPool = 3
	// routeTimeout is the response time limit of each route.
	routeTimeout = 3 * time.Second
	// recoveryTimeout is how long a condition may take to become true, such as a process being ready again.
	recoveryTimeout = 40 * time.Second
	pollInterval    = 50 * time.Millisecond
	// itemEvents is the number of events in the output of an item, longItemEvents that of one in longItemInterval, and eventPause the time
	// between two of them. The rest of a long item at an engine of the usual speed is long enough to be worth a move to the fast one.
	itemEvents       = 12
	longItemEvents   = 96
	longItemInterval = 12
	eventPause       = 15 * time.Millisecond
	// hardLoadSettings turns on the settings for servers of uneven speed and for steps that arrive without the store.
	hardLoadSettings = true
)

func gatewayName(n int) string { return fmt.Sprintf("entry-%d", n) }
func serviceName(n int) string { return fmt.Sprintf("desk-%d", n) }
func engineName(n int) string  { return fmt.Sprintf("engine-%d", n) }

// zoneName returns the availability zone of the n-th service and of the n-th engine.
func zoneName(n int) string { return fmt.Sprintf("north-%c", 'a'+n) }

// environment holds the platform stand-ins, the servers, and the gateway processes under test.
type environment struct {
	ctx           context.Context
	checker       *checker
	store         *platformtest.Store
	usageReceiver *platformtest.UsageReceiver
	services      []*platformtest.Server
	engines       []*platformtest.Server
	processes     []*process
	// seed determines the kinds of answers without end.
	seed   uint64
	memory memoryPeaks
	// endlessItems has the IDs of the items that got an answer without end as keys.
	endlessItems sync.Map

	mu                   sync.Mutex
	configurationVersion int
	modelVersion         int
	// key is the current API key of the organisation. withdrawnKeys holds the former ones with the time of their withdrawal.
	key           string
	withdrawnKeys map[string]time.Time
	// evacuations are the past and running evacuations, and coldTimes the times in which servers were cold.
	evacuations []*evacuation
	coldTimes   []coldTime
	// storeTroubles are the past times in which the store served no process, or lost answers.
	storeTroubles []interval
	// steps passes a channel that is closed once the outage that waits for a step has begun. stepOutages is held by such an outage,
	// and stepOutage is set while it lasts. submissions counts the submissions sent.
	steps       chan chan struct{}
	stepOutages sync.Mutex
	stepOutage  atomic.Bool
	submissions atomic.Int64
	// stepOutageTimes are the past outages that began with a step.
	stepOutageTimes []interval
	// isolations are the past times during which a process may have missed messages from the other processes or the store.
	isolations []interval
}

// newEnvironment starts the stand-ins and the processes, and waits until the processes are ready. The cleaner stops them.
func newEnvironment(ctx context.Context, o Options, c platformtest.Cleaner) (*environment, error) {
	env := &environment{
		ctx: ctx, checker: newChecker(), store: platformtest.NewStore(c), usageReceiver: platformtest.NewUsageReceiver(c),
		seed: o.Seed, memory: memoryPeaks{bytes: map[string]int64{}}, modelVersion: 1, withdrawnKeys: map[string]time.Time{}, steps: make(chan chan struct{}),
	}
	for i := range serversPerPool {
		env.services = append(env.services, platformtest.NewServer(c, serviceName(i), "desk", nil))
		env.services[i].Zone = zoneName(i)
	}
	for i := range engineCount {
		env.engines = append(env.engines, platformtest.NewServer(c, engineName(i), "engines", map[string]int{model: 1}))
		env.engines[i].SetStream(itemEvents, eventPause)
		env.engines[i].SetItemEvents(eventsOf)
		env.engines[i].Zone = zoneName(i % serversPerPool)
	}
	env.makeEnginesUneven()
	env.answerReadsEndlessly()
	env.rotateKey()
	for _, server := range env.allServers() {
		env.setDefaultBehaviour(server)
		env.store.Register(server, false)
	}
	seed := platformtest.UnusedAddress()
	for i := range processCount {
		advertised := seed
		if i > 0 {
			advertised = platformtest.UnusedAddress()
		}
		p, err := env.newProcess(gatewayName(i), o, seed, advertised, c)
		if err != nil {
			return nil, err
		}
		env.processes = append(env.processes, p)
	}
	for _, p := range env.processes {
		env.start(p)
	}
	for _, p := range env.processes {
		env.waitUntil(p.name+" is ready", func() bool { return env.isReady(p) })
	}
	return env, nil
}

func (env *environment) allServers() []*platformtest.Server {
	return append(append([]*platformtest.Server{}, env.services...), env.engines...)
}

// disturbedServer returns the server that a disturbance is to act on.
func (env *environment) disturbedServer(d disturbance) *platformtest.Server {
	return env.allServers()[d.target%disturbedServers]
}

// rotateKey issues a new key to the organisation and withdraws the former one.
func (env *environment) rotateKey() {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.configurationVersion++
	former := env.key
	env.key = fmt.Sprintf("key-%d", env.configurationVersion)
	env.store.Configure(env.configurationVersion, hostName, model, []platformtest.Route{
		{Name: "safe", Kind: platformtest.Idempotent, Pool: "desk", Timeout: routeTimeout, ColdPerSecond: coldPerSecond, ColdTime: coldDuration},
		{Name: "once", Kind: platformtest.Once, Pool: "desk", Timeout: routeTimeout, ColdPerSecond: coldPerSecond, ColdTime: coldDuration},
		{Name: "job", Kind: platformtest.BatchJobs, Pool: "engines", Timeout: routeTimeout, ColdPerSecond: coldPerSecond, ColdTime: coldDuration},
	}, map[string][]string{organisation: {env.key}})
	if former != "" {
		env.withdrawnKeys[former] = time.Now()
	}
}

func (env *environment) currentKey() string {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.key
}

// newProcess prepares a process without starting it. Other processes reach it at the advertised address, through its link.
func (env *environment) newProcess(name string, o Options, seed, advertised netip.AddrPort, c platformtest.Cleaner) (*process, error) {
	callerAddress, peerAddress, adminAddress := platformtest.UnusedAddress(), platformtest.UnusedAddress(), platformtest.UnusedAddress()
	p := &process{
		name: name, callerURL: "http://" + callerAddress.String(), readyURL: "http://" + adminAddress.String() + "/readyz",
		storeEndpoint: env.store.NewEndpoint(c),
	}
	fields := map[string]any{
		"hostId": name, "availabilityZone": "north-a", "listen": callerAddress, "peerListen": peerAddress, "peerAdvertise": advertised,
		"adminListen": adminAddress,
		"platformUrl": p.storeEndpoint.URL(), "reportsUrl": env.usageReceiver.URL(), "seeds": []netip.AddrPort{seed}, "usageWindow": "1s",
		"leaveDelay": "500ms", "drainTime": "6s", "peerSecret": "the secret of the soak",
	}
	if hardLoadSettings {
		fields["speedPlacement"], fields["earlyGeneration"] = "auto", "on"
	}
	settings, err := json.Marshal(fields)
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	path := filepath.Join(o.Folder, name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	if p.log, err = os.Create(filepath.Join(o.Folder, name+".log")); err != nil {
		return nil, errors.Wrap(err, "create log")
	}
	p.Process = binary.NewProcess(o.Program, path, p.log)
	if p.link, err = newLink(env.ctx, advertised, peerAddress); err != nil {
		return nil, errors.Wrap(err, "link")
	}
	c.Cleanup(p.close)
	return p, nil
}

// start starts the process unless it is running.
func (env *environment) start(p *process) {
	err := p.Start()
	env.checker.check(guaranteeRecovery, err == nil, "%s did not start: %v", p.name, err)
}

func (env *environment) isReady(p *process) bool {
	ctx, cancel := context.WithTimeout(env.ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.readyURL, nil)
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

// waitUntil waits until the condition holds, and counts a violation if it does not within recoveryTimeout.
func (env *environment) waitUntil(description string, condition func() bool) {
	ctx, cancel := context.WithTimeout(env.ctx, recoveryTimeout)
	defer cancel()
	satisfied := condition()
	for !satisfied && ticker.Sleep(ctx, pollInterval) {
		satisfied = condition()
	}
	env.checker.check(guaranteeRecovery, satisfied || env.ctx.Err() != nil, "not reached within %v: %s", recoveryTimeout, description)
}
