package earlystart

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var base = time.Unix(1_700_000_000, 0)

// Guards against a trainer that waits 1.6 s for an unresponsive store (the load: a step that arrives 1 s into an outage of 6 s, before the
// outage is known), and against work that begins although the store answers.
func TestNextAction(t *testing.T) {
	for _, test := range []struct {
		load   string
		waited time.Duration
		down   bool
		answer Answer
		want   Action
	}{
		{load: "store answers at once", answer: AnswerDecided, want: ActionSettle},
		{load: "slow store, a third of a second", waited: 290 * time.Millisecond, want: ActionWait},
		{load: "slow store has answered", waited: 310 * time.Millisecond, answer: AnswerDecided, want: ActionSettle},
		{load: "silent store", waited: AnswerWait, want: ActionBegin},
		{load: "store resets connections", waited: time.Millisecond, answer: AnswerNone, want: ActionBegin},
		{load: "known outage", down: true, want: ActionBegin},
	} {
		if got := NextAction(test.waited, test.down, test.answer); got != test.want {
			t.Errorf("%s: action %d, want %d", test.load, got, test.want)
		}
	}
}

// Guards against an entry that runs out of memory in a long outage (the load: steps of 200 items whose bodies take 0.2 or 1 MB).
func TestLimitsOfMemory(t *testing.T) {
	for _, test := range []struct {
		load  string
		bytes int
		// text is the size of the text of each job.
		text int
		want int
	}{
		{load: "small steps", bytes: 200 << 10, want: MaxJobs},
		{load: "large steps", bytes: 1 << 20, want: MaxJobs},
		{load: "large steps with much text", bytes: 1 << 20, text: 2 << 20, want: 11},
	} {
		b := NewBook()
		begun := 0
		for i := range 40 {
			id := fmt.Sprint("job", i)
			if b.Begin(Job{ID: id, Begun: base, Bytes: test.bytes}) {
				begun++
				b.SetText(id, test.text)
			}
		}
		if begun != test.want {
			t.Errorf("%s: %d jobs begun, want %d", test.load, begun, test.want)
		}
	}
	b := NewBook()
	b.Begin(Job{ID: "j", Begun: base, Bytes: 1})
	if b.SetText("j", MaxBytes); !b.Full() {
		t.Error("items of unaccepted jobs may start beyond the limit")
	}
	if b.Remove("j"); b.Full() || b.Bytes() != 0 {
		t.Error("a job that was given up still counts")
	}
}

// Guards against work for a trainer that has gone, and against giving up a step that still counts (the load: results due after 7.5 s, the
// trainer waits for 12 s).
func TestGivenUpAtTwiceTheDueTime(t *testing.T) {
	for due, lifetime := range map[time.Duration]time.Duration{7500 * time.Millisecond: 15 * time.Second, 0: 20 * time.Second} {
		b := NewBook()
		b.Begin(Job{ID: "j", Begun: base, Due: due})
		if ids := b.Expired(base.Add(lifetime - 1)); len(ids) > 0 {
			t.Errorf("due after %v: given up early", due)
		}
		if ids := b.Expired(base.Add(lifetime)); !slices.Equal(ids, []string{"j"}) {
			t.Errorf("due after %v: kept", due)
		}
	}
}

// Guards against a burst of creates at a store that has just recovered (the load: 320 unaccepted jobs at 20 entries, each create takes
// 30 ms), and against a job whose create never comes.
func TestCreatesAreSpreadAfterAnOutage(t *testing.T) {
	const tick, took = 10 * time.Millisecond, 30 * time.Millisecond
	entries := make([]*Book, 20)
	for i := range entries {
		entries[i] = NewBook()
		for job := range MaxJobs {
			entries[i].Begin(Job{ID: fmt.Sprintf("job %d of %d", job, i), Begun: base})
		}
		entries[i].Creates(base, true)
	}
	up := base.Add(4 * time.Second)
	created := map[time.Duration]int{}
	total := 0
	for at := time.Duration(0); at < 700*time.Millisecond; at += tick {
		for _, b := range entries {
			now := up.Add(at)
			inProgress := 0
			for id, r := range b.records {
				if r.creating && !now.Before(r.createAt.Add(took)) {
					b.CreateEnded(now, Create{ID: id, Serial: r.serial}, true)
					b.Remove(id)
				} else if r.creating {
					inProgress++
				}
			}
			for _, create := range b.Creates(now, false) {
				b.records[create.ID].createAt = now
				created[at/(100*time.Millisecond)]++
				inProgress++
				total++
			}
			if inProgress > maxCreates {
				t.Fatalf("%d creates in progress at one entry", inProgress)
			}
		}
	}
	if total != len(entries)*MaxJobs {
		t.Errorf("%d creates", total)
	}
	for tenth, count := range created {
		if count > total/3 {
			t.Errorf("%d of %d creates in one tenth of a second, the %d.", count, total, tenth)
		}
	}
}

// Guards against a store that is called while it is known to be down, against a trainer whose repeated submission waits for a create that
// was put off (the load: the same submission every half second), against a create without an answer that isn't repeated, and against
// jobs that wait for their retry after the store has answered for another one.
func TestCreatesFollowTheStore(t *testing.T) {
	b := NewBook()
	b.Begin(Job{ID: "j", Begun: base})
	if ids := b.Creates(base.Add(time.Second), true); len(ids) > 0 {
		t.Fatal("created while the store is down")
	}
	up := base.Add(2 * time.Second)
	b.Creates(up, false)
	if ids := b.Creates(up.Add(createSpread), false); len(ids) != 1 {
		t.Fatal("not created after the outage")
	}
	failed := up.Add(2 * time.Second)
	b.CreateEnded(failed, Create{ID: "j", Serial: 1}, false)
	if ids := b.Creates(failed.Add(createRetryDelay-1), false); len(ids) > 0 {
		t.Error("repeated without a pause")
	}
	b.Hasten(failed, "j")
	if ids := b.Creates(failed, true); len(ids) > 0 {
		t.Error("a repeated submission calls a store that is down")
	}
	b.Creates(failed, false)
	b.Hasten(failed, "j")
	if ids := b.Creates(failed, false); len(ids) != 1 {
		t.Error("a repeated submission waits")
	}
	b.Hasten(failed, "j")
	if ids := b.Creates(failed, false); len(ids) > 0 {
		t.Error("two creates of a job at once")
	}
	b.CreateEnded(failed, Create{ID: "j", Serial: 1}, false)
	b.records["j"].createAt = failed.Add(time.Minute)
	b.StoreAnswered(failed)
	if ids := b.Creates(failed.Add(createSpread), false); len(ids) != 1 {
		t.Error("not repeated")
	}
}

// Guards against two creates of a job at once: the job was given up during its create and begun again, and the old create ends.
func TestOldCreateDoesNotEndTheNewOne(t *testing.T) {
	b := NewBook()
	at := base.Add(createSpread)
	b.Begin(Job{ID: "j", Begun: base})
	old := b.Creates(at, false)
	b.Remove("j")
	b.Begin(Job{ID: "j", Begun: base})
	if creates := b.Creates(at, false); len(old) != 1 || len(creates) != 1 {
		t.Fatalf("creates: %v, %v", old, creates)
	}
	b.CreateEnded(at, old[0], false)
	if creates := b.Creates(at.Add(time.Minute), false); len(creates) > 0 {
		t.Errorf("created again: %v", creates)
	}
}
