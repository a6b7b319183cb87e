package admission

import (
	"math"
	"testing"
	"time"
)

// A pool refuses work at a steady rate, and later none. The load must be near the rate times the run time during the
// refusals, and zero after them; otherwise servers would be ordered for callers that have left.
func TestRefusedLoadFollowsRefusals(t *testing.T) {
	now := time.Unix(1000, 0)
	measure := NewRefusedLoad()
	measure.Served("p", 2*time.Second)
	const perSecond = 20
	for range 60 * perSecond {
		now = now.Add(time.Second / perSecond)
		measure.Refused(now, "p")
	}
	want := float64(perSecond * 2)
	if got := measure.Load(now)["p"]; math.Abs(got-want) > want/10 {
		t.Errorf("load %.1f, want about %.1f", got, want)
	}
	if got := measure.Load(now.Add(refusalWindow)); len(got) != 0 {
		t.Errorf("load %v after the refusals ended", got)
	}
}
