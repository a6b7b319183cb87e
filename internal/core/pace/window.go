package pace

import (
	"math"
	"slices"
	"time"
)

const (
	// windowSlots is the number of time slots that a server's window keeps. A spell that has passed is replaced within that many.
	windowSlots = 16
	// slotDuration is how long spans are merged into one slot. Streams that run at the same time see the same interference, so that their
	// number says nothing about certainty.
	slotDuration = 250 * time.Millisecond
	// minSlots is how many slots make a server known: about a second of streams.
	minSlots = 3
	// spanEvents is the number of events over which a stream's interval is measured.
	spanEvents = 6
)

// slot holds the spans of a server's streams that ended within slotDuration.
type slot struct {
	began, last time.Time
	// covered is how much time the spans cover.
	covered time.Duration
	// value is the mean logarithm of the intervals in seconds, load the mean load from 0 to 1.
	value, load float64
	spans       int
}

// window holds the last slots of a server.
type window struct {
	slots [windowSlots]slot
	// total counts the slots ever begun, the last of which is open.
	total int
}

// len returns the number of slots that the window holds.
func (w *window) len() int { return min(w.total, windowSlots) }

// at returns the slot with the number, counted from the first ever.
func (w *window) at(number int) *slot { return &w.slots[number%windowSlots] }

// last returns the open slot.
func (w *window) last() *slot { return w.at(w.total - 1) }

// add adds a span and reports whether it began a slot.
func (w *window) add(now time.Time, interval time.Duration, load float64) bool {
	covered := spanEvents * interval
	if w.total > 0 {
		covered = min(covered, max(0, now.Sub(w.last().last)))
	}
	begins := w.total == 0 || now.Sub(w.last().began) >= slotDuration
	if begins {
		*w.at(w.total) = slot{began: now}
		w.total++
	}
	s := w.last()
	s.spans++
	s.last, s.covered = now, s.covered+covered
	s.value += (math.Log(interval.Seconds()) - s.value) / float64(s.spans)
	s.load += (load - s.load) / float64(s.spans)
	return begins
}

// levels are the logarithms of a server's intervals without load.
type levels struct {
	// clean is the level without interference: with a fifth of the slots free of it, it is right. The lowest slots are left out, since an
	// entry that is short of processor time reads some events late and the next ones at once.
	clean float64
	// usual is the level that most slots don't exceed. That of a server that is fast only at times lies above its clean level.
	usual float64
	// spread is the difference between typical low and middle slots.
	spread float64
}

// levels returns the levels if a unit of load has the effect.
func (w *window) levels(effect float64) levels {
	var buffer [windowSlots]float64
	values := buffer[:w.len()]
	for i := range values {
		values[i] = w.slots[i].value - effect*w.slots[i].load
	}
	slices.Sort(values)
	n := len(values)
	usual := values[(6*(n-1)+9)/10]
	return levels{clean: values[max(min(1, n-1), n/5)], usual: usual, spread: usual - values[(n-1)/10]}
}

// interference returns how many times as long as at the level work took on average.
func (w *window) interference(effect, level float64) float64 {
	sum := 0.0
	for i := range w.len() {
		sum += math.Exp(w.slots[i].value - effect*w.slots[i].load - level)
	}
	return sum / float64(w.len())
}

// loadEffect compares the newest complete slot with the earlier ones at clearly different load. It returns the median change of the value
// for each unit of load, and false if there is none to compare with.
func (w *window) loadEffect() (float64, bool) {
	if w.total < 3 {
		return 0, false
	}
	var buffer [windowSlots]float64
	effects := buffer[:0]
	newest := w.at(w.total - 2)
	for number := max(0, w.total-windowSlots); number < w.total-2; number++ {
		earlier := w.at(number)
		if difference := newest.load - earlier.load; math.Abs(difference) >= minLoadDifference {
			effects = append(effects, (newest.value-earlier.value)/difference)
		}
	}
	if len(effects) == 0 {
		return 0, false
	}
	slices.Sort(effects)
	return effects[len(effects)/2], true
}
