package weights

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// decideAtRandom runs a planner over random engines, versions and token rates, all engines of the given speed, and returns
// the final number of engines by model and a digest of all orders and assignments.
func decideAtRandom(seed uint64, speed float64) string {
	random := rand.New(rand.NewPCG(seed, 1))
	models := []string{"a", "b", "c", "d"}[:2+random.IntN(3)]
	engines := newEngines(1+random.IntN(60), models...)
	newest := map[string]int{}
	var rates map[string]float64
	planner, digest := NewPlanner(), fnv.New64a()
	for at := start; at.Before(start.Add(30 * time.Second)); at = at.Add(200 * time.Millisecond) {
		if random.IntN(20) == 0 {
			newest[models[random.IntN(len(models))]]++
		}
		if random.IntN(30) == 0 {
			// Integer rates add up to the same sum in any order.
			rates = map[string]float64{models[random.IntN(len(models))]: float64(random.IntN(300))}
			for _, model := range models[1:] {
				rates[model] = float64(random.IntN(300))
			}
		}
		for i := range engines {
			engines[i].Running, engines[i].Draining, engines[i].Hold = random.IntN(7), random.IntN(50) == 0, random.IntN(50) == 0
			engines[i].Speed = speed
		}
		for _, order := range planner.Next(at, engines, newest, rates) {
			planner.RecordOrder(at, order)
			for i := range engines {
				if engines[i].ID == order.Server.ID && random.IntN(4) > 0 {
					engines[i].Models = map[string]int{order.Model: order.Version}
					for _, model := range models {
						engines[i].Models[model] = max(engines[i].Models[model], order.Server.Models[model])
					}
				}
			}
			_, _ = fmt.Fprint(digest, order.Server.ID, order.Model, order.Version)
		}
		for _, engine := range engines {
			_, _ = fmt.Fprint(digest, planner.models[engine.Key()])
		}
	}
	return fmt.Sprintf("%d %v %x", seed, planner.ServerCounts(), digest.Sum64())
}

// Guards against different decisions in pools of equal engines. testdata/equal.txt holds the decisions of the planner
// that counted engines instead of their speed.
func TestEqualSpeedsChangeNoDecision(t *testing.T) {
	want, err := os.ReadFile("testdata/equal.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, speed := range []float64{0, 1, 0.7} {
		var got strings.Builder
		for seed := range uint64(40) {
			got.WriteString(decideAtRandom(seed, speed) + "\n")
		}
		if diff := cmp.Diff(string(want), got.String()); diff != "" {
			t.Errorf("all engines at speed %v: %s", speed, diff)
		}
	}
}
