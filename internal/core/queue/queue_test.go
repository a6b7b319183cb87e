package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

var start = time.Unix(1000, 0).UTC()

func newItem(org string, value string) Item[string] {
	return Item[string]{Organisation: org, Weight: 1, Cost: 1, Value: value}
}

// popAll pops items until the queue returns none, and returns their values.
func popAll(q *Queue[string], now time.Time) []string {
	var out []string
	for {
		next, ok := q.Pop(now)
		if !ok {
			return out
		}
		out = append(out, next.Value)
	}
}

func TestPopOrder(t *testing.T) {
	tests := []struct {
		name  string
		items []Item[string]
		want  []string
	}{
		{
			name:  "two organisations alternate though one sends more",
			items: []Item[string]{newItem("a", "a1"), newItem("a", "a2"), newItem("a", "a3"), newItem("b", "b1"), newItem("b", "b2")},
			want:  []string{"a1", "b1", "a2", "b2", "a3"},
		},
		{
			name: "turns are in proportion to weights",
			items: []Item[string]{
				{Organisation: "a", Weight: 2, Value: "a1"}, {Organisation: "a", Weight: 2, Value: "a2"},
				{Organisation: "a", Weight: 2, Value: "a3"}, {Organisation: "b", Weight: 1, Value: "b1"},
				{Organisation: "b", Weight: 1, Value: "b2"},
			},
			want: []string{"a1", "b1", "a2", "a3", "b2"},
		},
		{
			name: "a long item uses up its organisation's turns",
			items: []Item[string]{
				{Organisation: "a", Cost: 3, Value: "a1"}, newItem("a", "a2"),
				newItem("b", "b1"), newItem("b", "b2"), newItem("b", "b3"),
			},
			want: []string{"a1", "b1", "b2", "b3", "a2"},
		},
		{
			name: "a higher priority goes first within an organisation",
			items: []Item[string]{
				{Organisation: "a", Priority: request.PriorityBulk, Value: "bulk"},
				{Organisation: "a", Priority: request.PriorityInteractive, Value: "interactive"},
			},
			want: []string{"interactive", "bulk"},
		},
		{
			name: "a lower priority doesn't wait for ever",
			items: []Item[string]{
				{Organisation: "a", Priority: request.PriorityBulk, Enqueued: start.Add(-time.Minute), Value: "bulk"},
				{Organisation: "a", Priority: request.PriorityInteractive, Value: "interactive"},
			},
			want: []string{"bulk", "interactive"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := New[string]()
			for _, added := range tt.items {
				if err := q.Push(start, added); err != nil {
					t.Fatal(err)
				}
			}
			if diff := cmp.Diff(tt.want, popAll(q, start)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against an organisation that fills an agent's queue and so shuts out the others: first come, first served
// would refuse a call of another organisation that has nothing in the queue. The newest call of the organisation
// with the most work must be evicted, and its further calls refused as not run.
func TestFullQueueEvictsFromLargestOrganisation(t *testing.T) {
	q := New[string](WithBounds(10, 3))
	for _, value := range []string{"a1", "a2", "a3"} {
		if err := q.Push(start, newItem("a", value)); err != nil {
			t.Fatal(err)
		}
	}
	refusal, ok := verdict.As(q.Push(start, newItem("a", "a4")))
	if !ok || refusal.Verdict != verdict.NotRun || refusal.RetryAfter <= 0 {
		t.Errorf("the organisation that filled the queue got %v", refusal)
	}
	if err := q.Push(start, newItem("b", "b1")); err != nil {
		t.Fatalf("the other organisation was refused: %v", err)
	}
	evicted := q.Expire(start)
	if len(evicted) != 1 || evicted[0].Value != "a3" {
		t.Errorf("evicted %v, want a3", evicted)
	}
	if diff := cmp.Diff([]string{"a1", "b1", "a2"}, popAll(q, start)); diff != "" {
		t.Error(diff)
	}
}

func TestDeadline(t *testing.T) {
	q := New[string](WithServiceTime(func(float64) time.Duration { return time.Second }))
	late := Item[string]{Organisation: "a", Deadline: start.Add(500 * time.Millisecond)}
	refusal, ok := verdict.As(q.Push(start, late))
	if !ok || refusal.Reason != verdict.ReasonDeadlineUnreachable || refusal.RetryAfter != 500*time.Millisecond {
		t.Errorf("got %v", refusal)
	}
	if err := q.Push(start, Item[string]{Organisation: "a", Deadline: start.Add(3 * time.Second)}); err != nil {
		t.Fatal(err)
	}
	if got := len(q.Expire(start.Add(1900 * time.Millisecond))); got != 0 {
		t.Errorf("%d expired while there was time", got)
	}
	if got := len(q.Expire(start.Add(2100 * time.Millisecond))); got != 1 {
		t.Errorf("%d expired when the answer could not come in time, want 1", got)
	}
}

// Guards against short calls that wait behind long jobs. Calls of a second share a server with jobs of minutes, and
// a running job isn't interrupted, so once jobs hold all slots a short call waits for minutes however early its
// turn is. While short calls arrive, long ones must leave them a quarter of the slots.
func TestLongItemsLeaveSlotsToShortOnes(t *testing.T) {
	q := New[string](WithSlots(func() int { return 4 }))
	for i := range 20 {
		if err := q.Push(start, newItem("short", fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
	}
	popAll(q, start)
	for range 4 {
		if err := q.Push(start, Item[string]{Organisation: "long", Cost: 500, Value: "long"}); err != nil {
			t.Fatal(err)
		}
	}
	if got := len(popAll(q, start)); got != 3 {
		t.Errorf("%d long items took slots, want 3", got)
	}
	if err := q.Push(start, newItem("short", "late")); err != nil {
		t.Fatal(err)
	}
	if got, ok := q.Pop(start); !ok || got.Value != "late" {
		t.Errorf("popped %v, want the short item", got.Value)
	}
	if _, ok := q.Pop(start.Add(shortSlotHold + time.Second)); !ok {
		t.Error("slots stay reserved though short items no longer arrive")
	}
}

// Guards against a short call refused for its organisation's queued jobs of minutes. The call would overtake the
// jobs, but if it were counted behind them it would miss its deadline and be refused although a slot is free.
func TestLongItemsDontRefuseShortOnes(t *testing.T) {
	q := New[string](WithSlots(func() int { return 4 }))
	now := start
	for range 20 {
		if err := q.Push(now, newItem("a", "short")); err != nil {
			t.Fatal(err)
		}
	}
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		q.Pop(now)
	}
	for range 10 {
		if err := q.Push(now, Item[string]{Organisation: "a", Cost: 600, Value: "long"}); err != nil {
			t.Fatal(err)
		}
	}
	popAll(q, now)
	if err := q.Push(now, Item[string]{Organisation: "a", Cost: 1, Deadline: now.Add(10 * time.Second)}); err != nil {
		t.Errorf("refused: %v", err)
	}
}

func TestWaitFollowsThroughput(t *testing.T) {
	q := New[string]()
	now := start
	for i := range 40 {
		if err := q.Push(now, newItem("a", fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
	}
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		q.Pop(now)
	}
	if got := q.EstimateWait(now, "a", 1).Round(time.Millisecond); got != 2*time.Second {
		t.Errorf("20 items at 10 per second: wait %v, want 2s", got)
	}
	if got := q.EstimateWait(now, "b", 1).Round(time.Millisecond); got != 100*time.Millisecond {
		t.Errorf("another organisation waits %v, want one turn of 100ms", got)
	}
}

// Guards against refusals caused by a stall that is long over. A server stalls for 4 s with all slots taken while a
// call waits. A minute later, the last of eight simultaneous calls were refused with 429 for an estimated wait of
// seconds, though a call takes 60 ms: throughput is measured only while calls wait, so the stall was all that had
// been measured. A server that stays slow must still refuse.
func TestWaitRecoversAfterStall(t *testing.T) {
	for _, test := range []struct {
		name    string
		slots   int
		service time.Duration
		refused bool
	}{
		{name: "the server recovers", slots: 4, service: 60 * time.Millisecond},
		{name: "the server recovers with fewer slots than waiting calls", slots: 2, service: 60 * time.Millisecond},
		{name: "the server stays slow", slots: 4, service: 4 * time.Second, refused: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			q := New[string](WithSlots(func() int { return test.slots }), WithServiceTime(func(float64) time.Duration { return test.service }))
			if err := simulateCalls(q, start, test.slots+1, 4*time.Second); err != nil {
				t.Fatalf("before the stall: %v", err)
			}
			if err := simulateCalls(q, start.Add(time.Minute), 8, test.service); (err != nil) != test.refused {
				t.Errorf("refused: %v", err)
			}
		})
	}
}

// simulateCalls pushes calls that arrive at once, runs each accepted one for serviceTime, and returns the error of the last Push.
func simulateCalls(q *Queue[string], now time.Time, calls int, serviceTime time.Duration) error {
	var refusal error
	var running []Item[string]
	for range calls {
		refusal = q.Push(now, Item[string]{Organisation: "a", Cost: 20, Deadline: now.Add(10 * time.Second)})
		if len(running) < q.slots() {
			next, _ := q.Pop(now)
			running = append(running, next)
		}
	}
	for len(running) > 0 {
		now = now.Add(serviceTime)
		for range len(running) {
			q.Finished(running[0])
			running = running[1:]
			if next, ok := q.Pop(now); ok {
				running = append(running, next)
			}
		}
	}
	return refusal
}

// TestEveryItemLeavesOnce applies random operations to a queue: each accepted item must be returned exactly once.
func TestEveryItemLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](WithBounds(5, 12))
		now := start
		accepted, left := map[int]bool{}, map[int]bool{}
		leave := func(items ...Item[int]) {
			for _, out := range items {
				if left[out.Value] || !accepted[out.Value] {
					t.Fatalf("item %d was returned twice or never accepted", out.Value)
				}
				left[out.Value] = true
			}
		}
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				org := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "org")
				added := Item[int]{Organisation: org, Cost: rapid.Float64Range(0, 50).Draw(t, "cost"), Value: i}
				if rapid.Bool().Draw(t, "deadline") {
					added.Deadline = now.Add(time.Second)
				}
				accepted[i] = q.Push(now, added) == nil
			case 3:
				if out, ok := q.Pop(now); ok {
					leave(out)
				}
			case 4:
				leave(q.Expire(now)...)
			case 5:
				leave(q.Remove(func(item Item[int]) bool { return item.Organisation == "d" })...)
			}
		}
		leave(q.Expire(now)...)
		for q.Len() > 0 {
			out, _ := q.Pop(now)
			leave(out)
		}
		for value, ok := range accepted {
			if ok && !left[value] {
				t.Fatalf("item %d was accepted but never returned", value)
			}
		}
	})
}

func BenchmarkPushPop(b *testing.B) {
	for _, orgs := range []int{8, 100, 1000} {
		b.Run(fmt.Sprintf("organisations=%d", orgs), func(b *testing.B) {
			q := New[int](WithBounds(1<<20, 1<<20))
			names := make([]string, orgs)
			for i := range names {
				names[i] = fmt.Sprintf("org%d", i)
				_ = q.Push(start, Item[int]{Organisation: names[i], Cost: 1})
			}
			for i := 0; b.Loop(); i++ {
				_ = q.Push(start, Item[int]{Organisation: names[i%orgs], Cost: 1})
				q.Pop(start)
			}
		})
		b.Run(fmt.Sprintf("wait/organisations=%d", orgs), func(b *testing.B) {
			q := New[int]()
			for i := range orgs {
				_ = q.Push(start, Item[int]{Organisation: fmt.Sprintf("org%d", i), Cost: 1})
			}
			for b.Loop() {
				q.EstimateWait(start, "org1", 1)
			}
		})
	}
}

// Guards against an agent that was paused while its slots were busy and then refuses calls for an estimated wait of
// seconds. The first item that finishes shows that the server works again, although the age of the other running
// items still includes the pause.
func TestWaitRecoversOnceAnItemFinishes(t *testing.T) {
	const service, pause, timeout = 50 * time.Millisecond, 2611 * time.Millisecond, 10 * time.Second
	now := start
	q := New[int](WithSlots(func() int { return 2 }), WithServiceTime(func(float64) time.Duration { return service }))
	push := func(organisation string) error {
		return q.Push(now, Item[int]{Organisation: organisation, Cost: 1, Deadline: now.Add(timeout)})
	}
	var running []Item[int]
	for range 2 {
		if err := push("a"); err != nil {
			t.Fatal(err)
		}
		item, _ := q.Pop(now)
		running = append(running, item)
	}
	for _, organisation := range []string{"a", "b"} {
		if err := push(organisation); err != nil {
			t.Fatal(err)
		}
	}
	now = now.Add(pause)
	q.Finished(running[0])
	if _, ok := q.Pop(now); !ok {
		t.Fatal("nothing started after the pause")
	}
	now = now.Add(time.Millisecond)
	if err := push("c"); err != nil {
		t.Errorf("refused %v after the first item started: %v", time.Millisecond, err)
	}
}
