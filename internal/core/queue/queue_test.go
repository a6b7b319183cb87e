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

func item(org string, value string) Item[string] {
	return Item[string]{Organisation: org, Weight: 1, Cost: 1, Value: value}
}

func drain(q *Queue[string], now time.Time) []string {
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
			name:  "a flood of one organisation leaves every other turn to another",
			items: []Item[string]{item("a", "a1"), item("a", "a2"), item("a", "a3"), item("b", "b1"), item("b", "b2")},
			want:  []string{"a1", "b1", "a2", "b2", "a3"},
		},
		{
			name: "weights",
			items: []Item[string]{
				{Organisation: "a", Weight: 2, Value: "a1"}, {Organisation: "a", Weight: 2, Value: "a2"},
				{Organisation: "a", Weight: 2, Value: "a3"}, {Organisation: "b", Weight: 1, Value: "b1"},
				{Organisation: "b", Weight: 1, Value: "b2"},
			},
			want: []string{"a1", "b1", "a2", "a3", "b2"},
		},
		{
			name: "a long item uses its organisation's turns up",
			items: []Item[string]{
				{Organisation: "a", Cost: 3, Value: "a1"}, item("a", "a2"),
				item("b", "b1"), item("b", "b2"), item("b", "b3"),
			},
			want: []string{"a1", "b1", "b2", "b3", "a2"},
		},
		{
			name: "priorities within an organisation",
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
			if diff := cmp.Diff(tt.want, drain(q, start)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// One organisation fills an agent's queue to its bound; then a call of another organisation comes.
// With first come first served it is refused, though its organisation has nothing in the queue. The
// newest call of the organisation with the most work must make room, and be told "not run".
func TestFullQueueMakesRoom(t *testing.T) {
	q := New[string](WithBounds(10, 3))
	for _, value := range []string{"a1", "a2", "a3"} {
		if err := q.Push(start, item("a", value)); err != nil {
			t.Fatal(err)
		}
	}
	refusal, ok := verdict.As(q.Push(start, item("a", "a4")))
	if !ok || refusal.Verdict != verdict.NotRun || refusal.RetryAfter <= 0 {
		t.Errorf("the flooding organisation got %v", refusal)
	}
	if err := q.Push(start, item("b", "b1")); err != nil {
		t.Fatalf("the other organisation was refused: %v", err)
	}
	lost := q.Expire(start)
	if len(lost) != 1 || lost[0].Value != "a3" {
		t.Errorf("lost %v, want a3", lost)
	}
	if diff := cmp.Diff([]string{"a1", "b1", "a2"}, drain(q, start)); diff != "" {
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

// Calls of a second share a server with jobs of minutes. Once jobs hold all slots a short call waits
// for minutes, however early its turn is, because a running job isn't interrupted. While short
// calls come, long ones must leave them a quarter of the slots.
func TestLongItemsLeaveSlots(t *testing.T) {
	q := New[string](WithSlots(func() int { return 4 }))
	for i := range 20 {
		if err := q.Push(start, item("short", fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
	}
	drain(q, start)
	for range 4 {
		if err := q.Push(start, Item[string]{Organisation: "long", Cost: 500, Value: "long"}); err != nil {
			t.Fatal(err)
		}
	}
	if got := len(drain(q, start)); got != 3 {
		t.Errorf("%d long items took slots, want 3", got)
	}
	if err := q.Push(start, item("short", "late")); err != nil {
		t.Fatal(err)
	}
	if got, ok := q.Pop(start); !ok || got.Value != "late" {
		t.Errorf("popped %v, want the short item", got.Value)
	}
	if _, ok := q.Pop(start.Add(shortMemory + time.Second)); !ok {
		t.Error("the slots stay empty though no short item comes any more")
	}
}

// An organisation has jobs of minutes in the queue and asks for a short call. The call would overtake
// the jobs, yet counted behind them it can't make its deadline, and is refused though a slot is free.
func TestLongItemsDontRefuseShortOnes(t *testing.T) {
	q := New[string](WithSlots(func() int { return 4 }))
	now := start
	for range 20 {
		if err := q.Push(now, item("a", "short")); err != nil {
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
	drain(q, now)
	if err := q.Push(now, Item[string]{Organisation: "a", Cost: 1, Deadline: now.Add(10 * time.Second)}); err != nil {
		t.Errorf("refused: %v", err)
	}
}

func TestWaitFollowsPace(t *testing.T) {
	q := New[string]()
	now := start
	for i := range 40 {
		if err := q.Push(now, item("a", fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
	}
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		q.Pop(now)
	}
	if got := q.Wait(now, "a", 1).Round(time.Millisecond); got != 2*time.Second {
		t.Errorf("20 items at 10 a second: wait %v, want 2s", got)
	}
	if got := q.Wait(now, "b", 1).Round(time.Millisecond); got != 100*time.Millisecond {
		t.Errorf("another organisation waits %v, want one turn of 100ms", got)
	}
}

// A server stands still for 4 s with all slots taken while a call waits, and works on. A minute later, of eight calls at once the last
// are refused with 429 for a wait of seconds, though a call takes 60 ms. Cause: the pace of the queue is measured only
// while calls wait, so that the stall is all it knows, however long ago. A server that stays slow must still refuse.
func TestStallIsOutlived(t *testing.T) {
	for _, test := range []struct {
		name    string
		slots   int
		service time.Duration
		refused bool
	}{
		{name: "the server works on", slots: 4, service: 60 * time.Millisecond},
		{name: "the server works on with fewer slots than calls that wait", slots: 2, service: 60 * time.Millisecond},
		{name: "the server stays slow", slots: 4, service: 4 * time.Second, refused: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			q := New[string](WithSlots(func() int { return test.slots }), WithServiceTime(func(float64) time.Duration { return test.service }))
			if err := serve(q, start, test.slots+1, 4*time.Second); err != nil {
				t.Fatalf("before the stall: %v", err)
			}
			if err := serve(q, start.Add(time.Minute), 8, test.service); (err != nil) != test.refused {
				t.Errorf("refused: %v", err)
			}
		})
	}
}

// serve lets calls arrive at once at a server, each of which takes so long, and returns the refusal of the last.
func serve(q *Queue[string], now time.Time, calls int, each time.Duration) error {
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
		now = now.Add(each)
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

// TestEveryItemLeavesOnce drives a queue at random: each item accepted leaves by exactly one way.
func TestEveryItemLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](WithBounds(5, 12))
		now := start
		accepted, left := map[int]bool{}, map[int]bool{}
		leave := func(items ...Item[int]) {
			for _, out := range items {
				if left[out.Value] || !accepted[out.Value] {
					t.Fatalf("item %d left twice or was never accepted", out.Value)
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
				t.Fatalf("item %d was accepted and never left", value)
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
				q.Wait(start, "org1", 1)
			}
		})
	}
}

// Guards against calls refused for a wait of seconds by an agent that was cut off while its slots were busy: the item that ended first tells that
// the server works again, while the age of the others still tells of the pause.
func TestAPauseIsOverOnceAnItemEnds(t *testing.T) {
	const service, pause, patience = 50 * time.Millisecond, 2611 * time.Millisecond, 10 * time.Second
	at := start
	q := New[int](WithSlots(func() int { return 2 }), WithServiceTime(func(float64) time.Duration { return service }))
	push := func(organisation string) error {
		return q.Push(at, Item[int]{Organisation: organisation, Cost: 1, Deadline: at.Add(patience)})
	}
	var running []Item[int]
	for range 2 {
		if err := push("a"); err != nil {
			t.Fatal(err)
		}
		item, _ := q.Pop(at)
		running = append(running, item)
	}
	for _, organisation := range []string{"a", "b"} {
		if err := push(organisation); err != nil {
			t.Fatal(err)
		}
	}
	at = at.Add(pause)
	q.Finished(running[0])
	if _, ok := q.Pop(at); !ok {
		t.Fatal("nothing started after the pause")
	}
	at = at.Add(time.Millisecond)
	if err := push("c"); err != nil {
		t.Errorf("refused %v after the pause: %v", time.Millisecond, err)
	}
}
