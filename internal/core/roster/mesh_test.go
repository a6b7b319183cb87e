package roster

import "testing"

// Guards against entries of a small deployment that hear of some others only through third ones.
func TestSmallFleetsExchangeHeartbeatsWithAll(t *testing.T) {
	for others := 1; others <= MaxFullMesh; others++ {
		ring := others + 1
		heard := map[int]bool{}
		for _, distance := range neighbourDistances(ring) {
			heard[distance], heard[ring-distance] = true, true
		}
		if len(heard) != others {
			t.Errorf("an entry exchanges heartbeats with %d of %d others", len(heard), others)
		}
	}
}
