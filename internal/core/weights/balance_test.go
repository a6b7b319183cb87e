package weights

import (
	"math/rand/v2"
	"testing"
	"time"
)

// unevenPool simulates three trainers with token rates of 2:2:1 on 48 engines of which one in four is twice as fast. All
// fast engines have loaded versions of the first model at first, so that the shares are correct in total.
type unevenPool struct {
	planner  *Planner
	engines  []Engine
	newest   map[string]int
	now      time.Time
	changes  int
	previous map[string]string
	// returned counts engines that were assigned to a model again soon after they had left it.
	returned int
}

func newUnevenPool() *unevenPool {
	pool := &unevenPool{
		planner: NewPlanner(), engines: newEngines(48, "a", "b", "c"), now: start,
		newest: map[string]int{"a": 5, "b": 5, "c": 5}, previous: map[string]string{},
	}
	for i := range pool.engines {
		pool.engines[i].Models[[]string{"a", "b", "b", "c"}[i%4]] = 4
	}
	return pool
}

// run simulates steps of 4 s, each with a new version, in which orders take effect within a second. The speeds
// vary independently by up to the given ratio.
func (u *unevenPool) run(steps int, wobble float64, random *rand.Rand) {
	for round := range steps * 20 {
		u.now = u.now.Add(200 * time.Millisecond)
		if round%20 == 0 {
			for model := range u.newest {
				u.newest[model]++
			}
		}
		for i := range u.engines {
			u.engines[i].Speed = 1 + wobble*(2*random.Float64()-1)
			if i%4 == 0 {
				u.engines[i].Speed *= 2
			}
			if pending, ok := u.planner.pending[u.engines[i].Key()]; ok && u.now.Sub(pending.at) >= time.Second {
				u.engines[i].Models[pending.order.Model] = pending.order.Version
			}
		}
		for _, order := range u.planner.Next(u.now, u.engines, u.newest, map[string]float64{"a": 200, "b": 200, "c": 100}) {
			u.planner.RecordOrder(u.now, order)
		}
		for _, change := range u.planner.Changes() {
			u.changes++
			if u.previous[change.Server] == change.To {
				u.returned++
			}
			u.previous[change.Server] = change.From
		}
	}
}

// sums returns the number of fast engines and the speed of each model's engines.
func (u *unevenPool) sums() (fast map[string]int, speed map[string]float64) {
	fast, speed = map[string]int{}, map[string]float64{}
	for i, engine := range u.engines {
		model := u.planner.models[engine.Key()]
		speed[model]++
		if i%4 == 0 {
			fast[model]++
			speed[model]++
		}
	}
	return fast, speed
}

// Guards against long items of two of three trainers on slow engines only, and against engines that change models to and
// fro because their speeds are known to 10 %.
func TestFastEnginesAreSharedWithoutMovesToAndFro(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 2))
		pool := newUnevenPool()
		pool.run(15, 0, random)
		fast, speed := pool.sums()
		if fast["a"] < 3 || fast["b"] < 3 || fast["c"] < 1 || speed["a"] < 21 || speed["b"] < 21 || speed["c"] < 10 {
			t.Errorf("fast engines %v, speed %v", fast, speed)
		}
		pool.changes, pool.returned = 0, 0
		pool.run(30, 0.1, random)
		if pool.returned > 0 || pool.changes > 4 {
			t.Errorf("seed %d: %d engines returned, %d changes", seed, pool.returned, pool.changes)
		}
	}
}

// Guards against shares by the number of engines: a model with slow engines would get the same number as one with fast ones.
func TestSharesCountSpeed(t *testing.T) {
	planner, engines := NewPlanner(), newEngines(30, "a", "b")
	for i := range engines {
		engines[i].Speed, engines[i].Models["b"] = 1, 2
		if i < 10 {
			engines[i].Speed, engines[i].Models = 2, map[string]int{"a": 2, "b": 1}
		}
	}
	counts := planForMinute(t, planner, start, engines, map[string]int{"a": 2, "b": 2}, map[string]float64{"a": 10, "b": 10})
	if counts["a"] != 10 || counts["b"] != 20 {
		t.Errorf("engines by model %v, want 10 fast and 20 slow ones", counts)
	}
}

// Guards against exchanges that cost weight loads: engines that have their model's newest version, or have been ordered to
// load it, keep their model.
func TestExchangeOnlyWithALoadThatIsDue(t *testing.T) {
	for _, test := range []struct {
		name        string
		slowVersion int
		ordered     bool
		want        int
	}{
		{name: "both have to load", slowVersion: 3, want: 2},
		{name: "the slow ones have the newest version", slowVersion: 4},
		{name: "the slow ones have been ordered to load", slowVersion: 3, ordered: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			planner, engines := NewPlanner(), newEngines(30, "a", "b")
			for i := range engines {
				engines[i].Speed, engines[i].Models = 1, map[string]int{"a": 1, "b": test.slowVersion}
				if i < 10 {
					engines[i].Speed, engines[i].Models = 2, map[string]int{"a": 3, "b": 1}
				} else if test.ordered {
					planner.RecordOrder(start, Order{Server: engines[i].Server, Model: "b", Version: 4})
				}
			}
			planner.Next(start, engines, map[string]int{"a": 4, "b": 4}, map[string]float64{"a": 10, "b": 10})
			if got := len(planner.Changes()); got != test.want {
				t.Errorf("%d engines changed their model, want %d", got, test.want)
			}
		})
	}
}
