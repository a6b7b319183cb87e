// Command 1 shows that an item at which three engines crashed by chance is sent to no engine any more, in later jobs too.
package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/review/harness"
)

const (
	engineCount = 6
	events      = 60
	interval    = 30 * time.Millisecond
	groups      = 8
	crashes     = 3
	// crashDelay is how long the item has run at an engine when that crashes.
	crashDelay = 300 * time.Millisecond
	// restartDelay is when a new engine takes the place of one that crashed, expiry when the registration of that one expires: three
	// missed heartbeats.
	restartDelay = time.Second
	expiry       = 3600 * time.Millisecond
	// stepTime is how long a trainer waits for a step, idleTime how long an item may be at no engine.
	stepTime = 12 * time.Second
	idleTime = 5 * time.Second
)

// fleet holds the engines.
type fleet struct {
	env *harness.Env

	mu      sync.Mutex
	engines []*harness.Engine
	started int
	// lastRun is when an engine last began to run an item.
	lastRun map[string]time.Time
}

func main() {
	harness.Main(3, run)
}

func (f *fleet) start(zone string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	engine, err := f.env.StartEngine(fmt.Sprintf("i-%d", f.started), zone, events, interval, f.recordRun)
	if err != nil {
		return err
	}
	f.started++
	f.engines = append(f.engines, engine)
	return nil
}

func (f *fleet) recordRun(run harness.Run) harness.Action {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastRun[run.Item] = time.Now()
	return harness.Serve
}

// engineOf returns the engine that runs the item; nil if there is none.
func (f *fleet) engineOf(item string) *harness.Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, engine := range f.engines {
		if _, runs := engine.Running(item); runs {
			return engine
		}
	}
	return nil
}

// crash ends an engine, and starts another one in its place.
func (f *fleet) crash(engine *harness.Engine, zone string) {
	f.env.Record("engine %s crashes", engine.ID)
	f.mu.Lock()
	f.engines = slices.DeleteFunc(f.engines, func(other *harness.Engine) bool { return other == engine })
	f.mu.Unlock()
	engine.Crash()
	go func() {
		if f.env.Pause(restartDelay) && f.start(zone) == nil && f.env.Pause(expiry-restartDelay) {
			engine.Expire()
		}
	}()
}

// crashUnder crashes three engines in turn while they run the item.
func (f *fleet) crashUnder(item string) error {
	for n := range crashes {
		var engine *harness.Engine
		if !f.env.WaitUntil(idleTime, func() bool { engine = f.engineOf(item); return engine != nil }) {
			return errors.Errorf("item %s doesn't run before crash %d", item, n+1)
		}
		if !f.env.Pause(crashDelay) {
			return errors.New("the time is over")
		}
		if engine == f.engineOf(item) {
			f.crash(engine, harness.Zone(n))
		}
	}
	return nil
}

func run(ctx context.Context, env *harness.Env) (bool, error) {
	f := &fleet{env: env, lastRun: map[string]time.Time{}}
	for i := range engineCount {
		if err := f.start(harness.Zone(i)); err != nil {
			return false, err
		}
	}
	first := harness.NewJob("job1", groups, groups-1)
	if err := env.Submit(ctx, first, 0); err != nil {
		return false, err
	}
	item := first.Groups[0][0]
	var disruption error
	if env.Trouble {
		disruption = f.crashUnder(item)
	}
	if disruption != nil {
		return false, disruption
	}
	env.Read(ctx, first, time.Now().Add(stepTime), func() bool { return first.Complete() >= first.Desired })
	env.End(ctx, first)

	// The groups that were not complete come again first, and the trainer waits for them.
	second := harness.NewJob("job2", groups, groups)
	for _, group := range first.Groups {
		if slices.ContainsFunc(group, func(item string) bool { return !first.Listed(item) }) && len(second.Groups) > groups/2 {
			second.Groups = append([][]string{group}, second.Groups[:len(second.Groups)-1]...)
		}
	}
	if err := env.Submit(ctx, second, 1); err != nil {
		return false, err
	}
	done := env.Read(ctx, second, time.Now().Add(stepTime), func() bool { return second.Complete() == groups })
	held := done || !f.leftLying(second)
	env.End(ctx, second)
	return held, nil
}

// leftLying reports whether an item of a step that ran out of time has been at no engine for too long, with room for it.
func (f *fleet) leftLying(step *harness.Job) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	running := 0
	for _, engine := range f.engines {
		count, _ := engine.Running("")
		running += count
	}
	found := false
	for _, group := range step.Groups {
		for _, item := range group {
			if idle := time.Since(f.lastRun[item]); !step.Listed(item) && idle > idleTime {
				found = true
				f.env.Record("item %s isn't listed and was sent to no engine for %.1f s; %d engines run %d items", item, idle.Seconds(), len(f.engines), running)
			}
		}
	}
	return found
}
