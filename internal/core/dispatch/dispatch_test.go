package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/oleandershelf/oleandershelf/internal/core/length"
)

const (
	fastInterval = 25 * time.Millisecond
	slowInterval = 60 * time.Millisecond
)

var start = time.Unix(1_700_000_000, 0)

// newItem returns a waiting item of a group with an expected number of events left, known from finished items.
func newItem(id, group string, left float64) Item {
	return Item{ID: id, Group: group, GroupUnfinished: 4, Remaining: length.Remaining{Mean: left, High: 2 * left, Samples: 100}}
}

// at returns the item as it runs on a server.
func (i Item) at(server string, interval time.Duration) Item {
	i.Server, i.Interval, i.Produced = server, interval, 5
	return i
}

func newState(waiting, running []Item) State {
	return State{
		Now: start, Due: start.Add(7500 * time.Millisecond), Waiting: waiting, Running: running,
		Groups: 4, Fastest: fastInterval, Usual: slowInterval,
	}
}

// plan returns the actions for free slots, as "item>server".
func plan(s State, slots ...Slot) []string {
	actions := []string{}
	for _, action := range Plan(Rank(s), slots) {
		actions = append(actions, action.Item+">"+action.To)
	}
	return actions
}

func fastSlot(free int) Slot { return Slot{Server: "fast", Free: free, Interval: fastInterval} }
func slowSlot(free int) Slot { return Slot{Server: "slow", Free: free, Interval: slowInterval} }

func TestPlan(t *testing.T) {
	short, long, longer := newItem("short", "g", 15), newItem("long", "h", 90), newItem("longer", "i", 140)
	retried := newItem("retried", "g", 20)
	retried.Produced = 3
	moved := long.at("slow", slowInterval)
	moved.Moves = maxMoves
	unknown := long.at("slow", slowInterval)
	unknown.Remaining.Samples = 3
	nearlyDone := newItem("nearlyDone", "j", 4).at("slow", 400*time.Millisecond)
	lastOfGroup := newItem("last", "j", 85).at("slow", slowInterval)
	lastOfGroup.GroupUnfinished = 1
	impossible := newItem("impossible", "late", 400)
	for _, test := range []struct {
		// failure is what the case guards against.
		failure string
		state   State
		slots   []Slot
		want    []string
	}{
		{"the longest item ends last because it runs on a slow server", newState([]Item{short, long, longer}, nil),
			[]Slot{slowSlot(2), fastSlot(1)}, []string{"longer>fast", "long>slow", "short>slow"}},
		{"a fast slot is idle while an item waits that gains little by it", newState([]Item{short}, nil),
			[]Slot{slowSlot(1), fastSlot(1)}, []string{"short>fast"}},
		{"a fast slot is idle while an item waits, since the running one must not move again", newState([]Item{short}, []Item{moved}),
			[]Slot{fastSlot(1)}, []string{"short>fast"}},
		{"a short item takes the fast slot while a long one stays on a slow server", newState([]Item{short}, []Item{long.at("slow", slowInterval)}),
			[]Slot{fastSlot(1)}, []string{"long>fast"}},
		{"a long item waits while a shorter one moves", newState([]Item{longer}, []Item{long.at("slow", slowInterval)}),
			[]Slot{fastSlot(1)}, []string{"longer>fast"}},
		{"an item moves more than three times", newState(nil, []Item{moved}), []Slot{fastSlot(1)}, []string{}},
		{"an item moves by an estimate that is based on nothing", newState(nil, []Item{unknown}), []Slot{fastSlot(1)}, []string{}},
		{"an item moves in its last few events", newState(nil, []Item{nearlyDone}), []Slot{fastSlot(1)}, []string{}},
		{"an item moves for a gain within the error of the estimates", newState(nil, []Item{long.at("slow", slowInterval)}),
			[]Slot{{Server: "other", Free: 1, Interval: 48 * time.Millisecond}}, []string{}},
		{"an item moves to a server that is slow at the moment", newState(nil, []Item{newItem("short", "g", 13).at("slow", slowInterval)}),
			[]Slot{{Server: "fast", Free: 1, Interval: fastInterval, Present: 2.5}}, []string{}},
		{"an item moves to the server on which it runs", newState(nil, []Item{long.at("fast", slowInterval)}), []Slot{fastSlot(1)}, []string{}},
		{"a slot with a little less to wait for hides one that a long item gains by", newState(nil, []Item{longer.at("slow", slowInterval)}),
			[]Slot{{Server: "brief", Free: 1, Interval: 46 * time.Millisecond}, {Server: "lasting", Free: 1, Interval: 40 * time.Millisecond, Present: 100}},
			[]string{"longer>lasting"}},
		{"two items move to one slot, or one item to two", newState(nil, []Item{long.at("slow", slowInterval), longer.at("slow", slowInterval)}),
			[]Slot{fastSlot(1)}, []string{"longer>fast"}},
		{"of two items of similar gain the group that needs more than one gets the slot",
			newState(nil, []Item{long.at("slow", slowInterval), lastOfGroup}), []Slot{fastSlot(1)}, []string{"last>fast"}},
		{"one server is filled while one that is as fast is idle", newState([]Item{short, long, longer}, nil),
			[]Slot{fastSlot(2), {Server: "other", Free: 2, Interval: fastInterval}}, []string{"longer>fast", "long>other", "short>fast"}},
		{"traffic between zones for equal servers", newState([]Item{short, long}, nil),
			[]Slot{{Server: "far", Free: 8, Interval: fastInterval, OtherZone: true}, fastSlot(2)}, []string{"long>fast", "short>fast"}},
		{"a group that can't be in time keeps the slot from one that can", newState([]Item{impossible, short}, nil),
			[]Slot{fastSlot(1)}, []string{"short>fast"}},
		{"an interrupted item loses its text behind longer ones", newState([]Item{long, retried}, nil), []Slot{fastSlot(1)}, []string{"retried>fast"}},
	} {
		if got := plan(test.state, test.slots...); !cmp.Equal(got, test.want) {
			t.Errorf("%s: %v, want %v", test.failure, got, test.want)
		}
	}
}

// Guards against a step whose wanted groups are all a little late because each of them gets a part of the fast slots: if more groups are
// expected to be late than may be, those with the most left to do yield. Otherwise, and once all are late, none yields.
func TestGroupsWithMostWorkMayBeLate(t *testing.T) {
	items := func(lefts ...float64) (waiting []Item) {
		for i, left := range lefts {
			waiting = append(waiting, newItem(fmt.Sprint(left), fmt.Sprint(i), left))
		}
		return waiting
	}
	for _, test := range []struct {
		name  string
		lefts []float64
		due   time.Duration
		want  []string
	}{
		{"two of four are late", []float64{250, 200, 40, 30}, 7500 * time.Millisecond, []string{"200>fast", "40>fast", "30>fast", "250>fast"}},
		{"one of four is late", []float64{200, 100, 40, 30}, 7500 * time.Millisecond, []string{"200>fast", "100>fast", "40>fast", "30>fast"}},
		{"the due time has passed", []float64{250, 200, 40, 30}, -time.Second, []string{"250>fast", "200>fast", "40>fast", "30>fast"}},
	} {
		state := newState(items(test.lefts...), nil)
		state.Wanted, state.Due = 3, start.Add(test.due)
		if got := plan(state, fastSlot(4)); !cmp.Equal(got, test.want) {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// Guards against trust in misleading estimates: an item of which a short output was expected moves once it has outlived the expectation,
// and one of which a long output was expected doesn't take the fast slot from it when outputs with such estimates are usually short.
func TestMisleadingEstimatesAreCorrected(t *testing.T) {
	lengths := length.NewEstimator()
	for i := range 300 {
		events := 20
		if i%12 == 0 {
			events = 100
		}
		lengths.RecordFinished("m", 80, events)
		lengths.RecordFinished("m", 400, 22)
	}
	item := func(id string, expected, produced int) Item {
		result := newItem(id, id, 0)
		result.Remaining = lengths.Remaining("m", expected, produced)
		result.Produced = produced
		return result
	}
	underestimated := item("underestimated", 80, 40)
	underestimated.Server, underestimated.Interval = "slow", slowInterval
	overestimated := item("overestimated", 400, 0)
	if got := plan(newState([]Item{overestimated}, []Item{underestimated}), fastSlot(1)); !cmp.Equal(got, []string{"underestimated>fast"}) {
		t.Errorf("got %v; expected to be left: %+v and %+v", got, underestimated.Remaining, overestimated.Remaining)
	}
}

// Guards against plans by a ranking that is out of date: items that started, ended or moved meanwhile must not be placed again.
func TestRetainRemovesWhatHasChanged(t *testing.T) {
	long := newItem("long", "h", 90).at("slow", slowInterval)
	ranking := Rank(newState([]Item{newItem("a", "g", 10), newItem("b", "g", 9)}, []Item{long}))
	ranking.Retain(func(id string) bool { return id == "b" }, func(_, server string) bool { return server == "elsewhere" })
	actions := Plan(ranking, []Slot{fastSlot(3)})
	if len(actions) != 1 || actions[0].Item != "b" || actions[0].From != "" {
		t.Errorf("planned %+v", actions)
	}
	ranking = Rank(newState(nil, []Item{long}))
	ranking.DropRunning("long")
	if actions := Plan(ranking, []Slot{fastSlot(1)}); len(actions) != 0 {
		t.Errorf("planned %+v", actions)
	}
}

func BenchmarkRankAndPlan(b *testing.B) {
	var waiting, running []Item
	for i := range 100 {
		waiting = append(waiting, newItem(fmt.Sprint(i), fmt.Sprint(i%13), float64(20+i*7%90)))
		running = append(running, newItem(fmt.Sprint(100+i), fmt.Sprint(i%13), float64(20+i*7%90)).at("slow", slowInterval))
	}
	for b.Loop() {
		Plan(Rank(newState(waiting, running)), []Slot{fastSlot(2), slowSlot(2)})
	}
}
