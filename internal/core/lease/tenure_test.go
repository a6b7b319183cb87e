package lease

import (
	"testing"
	"time"
)

// Guards against a receiver that gets a lower fencing number after a higher one because a network delivered an earlier call of the same
// holder late, and against a new holder with a number that isn't higher than those before.
func TestTenureGrowsWithTakeoversOnly(t *testing.T) {
	first, second := Holder{HostID: "h1", Incarnation: 1}, Holder{HostID: "h2", Incarnation: 1}
	m := NewMachine(first, true, DefaultTiming())
	now := Instant{Wall: time.Unix(1_700_000_000, 0)}
	next := func() Step {
		now.Monotonic += DefaultTiming().Term + 2*DefaultTiming().Margin
		return m.Next(now)
	}
	write := func(version uint64) {
		t.Helper()
		if step := next(); step.Kind != StepWrite {
			t.Fatalf("unexpected step %v before version %d", step.Kind, version)
		}
		m.Wrote(now, version)
	}
	check := func(when string, want uint64) {
		t.Helper()
		if m.Tenure() != want {
			t.Errorf("%s: tenure %d, want %d", when, m.Tenure(), want)
		}
	}
	m.ObservedAbsent(now)
	write(3)
	check("taken over", 3)
	write(5)
	check("renewed", 3)
	lost := next()
	m.WriteUncertain()
	m.Observed(now, 6, lost.Record)
	check("renewed, and the answer was lost", 3)
	m.Observed(now, 8, Record{Holder: second, Renewal: 1})
	check("lost to another holder", 3)
	m.Observed(now, 9, Record{Holder: second, Renewal: 2, Released: true})
	write(10)
	check("taken over again", 10)
	m.ObservedAbsent(now)
	write(12)
	check("taken over after the object was removed", 12)
}
