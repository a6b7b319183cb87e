package admission

import (
	"math"
	"testing"
	"time"
)

// A pool refuses work at a steady rate, and later none. The measure must come near rate times time while it lasts,
// and be gone afterwards: servers would else be ordered for callers that have left.
func TestTurnedAwayFollowsRefusals(t *testing.T) {
	now := time.Unix(1000, 0)
	measure := NewTurnedAway()
	measure.Served("p", 2*time.Second)
	const perSecond = 20
	for range 60 * perSecond {
		now = now.Add(time.Second / perSecond)
		measure.Refused(now, "p")
	}
	want := float64(perSecond * 2)
	if have := measure.Load(now)["p"]; math.Abs(have-want) > want/10 {
		t.Errorf("load %.1f, want about %.1f", have, want)
	}
	if have := measure.Load(now.Add(turnedAwayTime)); len(have) != 0 {
		t.Errorf("load %v after the refusals ended", have)
	}
}
