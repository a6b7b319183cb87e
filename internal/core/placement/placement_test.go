package placement

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
)

var (
	start   = time.Unix(1000, 0).UTC()
	errTest = errors.New("no answer")
)

func servers(n int) []Server {
	out := make([]Server, n)
	for i := range out {
		out[i] = Server{HostID: fmt.Sprintf("s%04d", i), AvailabilityZone: string(rune('a' + i%3))}
	}
	return out
}

func ids(list []Server) []string {
	out := make([]string, 0, len(list))
	for _, s := range list {
		out = append(out, s.HostID)
	}
	return out
}

func TestSubset(t *testing.T) {
	all := servers(60)
	first := Subset("entry1", "a", all, 9)
	zones := map[string]int{}
	for _, s := range first {
		zones[s.AvailabilityZone]++
	}
	if diff := cmp.Diff(map[string]int{"a": 6, "b": 2, "c": 1}, zones, cmpopts.SortMaps(func(x, y string) bool { return x < y })); diff != "" {
		t.Error("own zone first, a third from the others", diff)
	}
	if first[0].AvailabilityZone != "a" {
		t.Errorf("the first server is in zone %s", first[0].AvailabilityZone)
	}
	shuffled := slices.Clone(all)
	slices.Reverse(shuffled)
	if diff := cmp.Diff(ids(first), ids(Subset("entry1", "a", shuffled, 9))); diff != "" {
		t.Error("depends on the order of the list", diff)
	}
	without := slices.DeleteFunc(slices.Clone(all), func(s Server) bool { return s.HostID == first[0].HostID })
	kept := 0
	for _, id := range ids(Subset("entry1", "a", without, 9)) {
		if slices.Contains(ids(first), id) {
			kept++
		}
	}
	if kept != 8 {
		t.Errorf("%d of 8 servers kept when one left", kept)
	}
	if got := len(Subset("entry1", "d", all, 100)); got != 60 {
		t.Errorf("%d servers of a small pool, want all 60", got)
	}
}

func TestSubsetsLoadAlike(t *testing.T) {
	all := servers(220)
	uses := map[string]int{}
	for i := range 380 {
		for _, s := range Subset(fmt.Sprintf("entry%d", i), string(rune('a'+i%3)), all, 20) {
			uses[s.HostID]++
		}
	}
	for _, s := range all {
		if n := uses[s.HostID]; n < 15 || n > 60 {
			t.Errorf("%s is used by %d entries, want about 35", s.HostID, n)
		}
	}
}

func TestCandidatesLeaveOut(t *testing.T) {
	list := servers(6)
	list[0].Leaving = true
	tr := NewTracker(WithSeed(1))
	tr.Observe(start, "s0002", request.Load{Draining: true})
	for range 50 {
		got := ids(tr.Candidates(start, list, 7, map[string]bool{"s0001": true}))
		for _, out := range []string{"s0000", "s0001", "s0002"} {
			if slices.Contains(got, out) {
				t.Fatalf("%s is among %v", out, got)
			}
		}
	}
	if got := tr.Candidates(start, list[:1], 0, nil); len(got) != 0 {
		t.Errorf("got %v of a pool that leaves", got)
	}
}

// A pool has two servers, one of which has just begun to leave. Where all draws fell on that one, a call was refused for want of
// a server though the other was free: about one call in 128.
func TestCandidatesHoldAllOfASmallPool(t *testing.T) {
	tracker := NewTracker()
	for range 5000 {
		if got := tracker.Candidates(start, servers(2), 0, nil); len(got) != 2 {
			t.Fatalf("candidates %v", ids(got))
		}
	}
}

func TestCandidatesBelieveInThePrefix(t *testing.T) {
	tr := NewTracker(WithSeed(1))
	tr.Cached(start, 7, "s0030")
	if got := tr.Candidates(start.Add(beliefTime), servers(60), 7, nil)[0].HostID; got != "s0030" {
		t.Errorf("%s is first, want the server that holds the prefix", got)
	}
	home := tr.Candidates(start.Add(2*beliefTime), servers(60), 7, nil)[0].HostID
	other := NewTracker(WithSeed(2)).Candidates(start, servers(60), 7, nil)[0].HostID
	if home != other {
		t.Errorf("entries meet at %s and %s for one prefix", home, other)
	}
}

func TestChoose(t *testing.T) {
	a, b := Server{HostID: "a"}, Server{HostID: "b"}
	tests := []struct {
		name   string
		before map[string]request.Load
		probed []Probed
		want   string
		none   bool
	}{
		{name: "the earlier start", probed: []Probed{{Server: a, Load: request.Load{Wait: 2 * time.Second}}, {Server: b, Load: request.Load{Wait: time.Second}}}, want: "b"},
		{name: "fewer running where none waits", probed: []Probed{{Server: a, Load: request.Load{Running: 4, Limit: 8}}, {Server: b, Load: request.Load{Running: 1, Limit: 8}}}, want: "b"},
		{name: "a cached prefix is worth a short wait", probed: []Probed{{Server: a, Load: request.Load{Wait: 100 * time.Millisecond, PrefixCached: true}}, {Server: b}}, want: "a"},
		{name: "but not a long one", probed: []Probed{{Server: a, Load: request.Load{Wait: time.Second, PrefixCached: true}}, {Server: b}}, want: "b"},
		{name: "a leaving server is left out", probed: []Probed{{Server: a, Load: request.Load{Draining: true}}, {Server: b, Load: request.Load{Wait: time.Hour}}}, want: "b"},
		{name: "none", probed: []Probed{{Server: a, Load: request.Load{Draining: true}}}, none: true},
		{name: "the last report where a probe failed", before: map[string]request.Load{"a": {Wait: time.Second}, "b": {Wait: 2 * time.Second}}, probed: []Probed{{Server: a, Err: errTest}, {Server: b, Err: errTest}}, want: "a"},
		{name: "an answer before no answer", probed: []Probed{{Server: a, Err: errTest}, {Server: b, Load: request.Load{Wait: time.Second}}}, want: "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := NewTracker()
			for id, load := range tt.before {
				tr.Observe(start, id, load)
			}
			got, ok := tr.Choose(start, tt.probed, 1)
			if ok == tt.none || got.HostID != tt.want {
				t.Errorf("got %q, %v", got.HostID, ok)
			}
		})
	}
}

// One of ten servers answers five times slower without failing. Its queue is short since it gets
// little, so that requests go on to it, and a tenth of the callers wait five times as long. It must be
// spared, tried now and then, and used again when it is as fast as the others.
func TestSlowServerIsSparedAndTriedAgain(t *testing.T) {
	tr := NewTracker(WithSeed(1))
	list := servers(10)
	now := start
	finish := func(slow time.Duration) {
		for _, s := range list {
			took := 100 * time.Millisecond
			if s.HostID == "s0000" {
				took = slow
			}
			tr.Finished(now, s.HostID, took, false)
		}
		now = now.Add(time.Second)
	}
	for range 10 {
		finish(500 * time.Millisecond)
	}
	if diff := cmp.Diff([]string{"s0000"}, tr.Spared()); diff != "" {
		t.Fatal(diff)
	}
	trials := 0
	for range 60 {
		now = now.Add(time.Second)
		if slices.Contains(ids(tr.Candidates(now, list, 0, nil)), "s0000") {
			trials++
			tr.Choose(now, []Probed{{Server: list[0]}, {Server: list[1]}}, 1)
		}
	}
	if trials < 2 || trials > 5 {
		t.Errorf("%d trials in a minute, want a few", trials)
	}
	for range 30 {
		finish(100 * time.Millisecond)
	}
	if got := tr.Spared(); len(got) != 0 {
		t.Errorf("%v still spared", got)
	}
}

// An entry serves a pool of lookups of a millisecond and one of generations of seconds. Compared with
// each other, all model servers would count as slow and be spared; peers are those of the same pool.
func TestPoolsAreJudgedApart(t *testing.T) {
	tr := NewTracker(WithSeed(1))
	for i, s := range servers(10) {
		s.Pool = "lookups"
		took := time.Millisecond
		if i >= 6 {
			s.Pool = "generations"
			took = 5 * time.Second
		}
		tr.Choose(start, []Probed{{Server: s}}, 1)
		for range 10 {
			tr.Finished(start, s.HostID, took, false)
		}
	}
	tr.Finished(start.Add(time.Second), "s0000", time.Millisecond, false)
	if got := tr.Spared(); len(got) != 0 {
		t.Errorf("spared %v", got)
	}
}

func TestAllSparedAreUsed(t *testing.T) {
	tr := NewTracker(WithSeed(1))
	list := servers(3)
	for _, s := range list {
		for range 10 {
			tr.Finished(start, s.HostID, 0, true)
		}
	}
	if got := tr.Candidates(start, list, 0, nil); len(got) != 3 {
		t.Errorf("%d candidates where all servers fail, want all", len(got))
	}
}

// A pool fails altogether and each request is tried again. Without a bound the pool gets three times
// the load just when it can bear least; retries must stay near a tenth of the first tries.
func TestBudgetBoundsRetries(t *testing.T) {
	b := NewBudget()
	retries := 0
	for range 1000 {
		b.Earn()
		for range 2 {
			if b.Spend() {
				retries++
			}
		}
	}
	if want := 1000*defaultRetryRatio + defaultRetryFloor; retries > int(want)+1 || retries < int(want)-1 {
		t.Errorf("%d retries for 1000 requests, want %v", retries, want)
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{10, 100, 2200} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			tr := NewTracker(WithSeed(1))
			list := servers(n)
			for _, s := range list {
				tr.Finished(start, s.HostID, time.Second, false)
			}
			for i := 0; b.Loop(); i++ {
				now := start.Add(time.Duration(i) * time.Millisecond)
				candidates := tr.Candidates(now, list, uint64(i%100+1), nil)
				probed := make([]Probed, len(candidates))
				for at, s := range candidates {
					probed[at].Server = s
				}
				chosen, _ := tr.Choose(now, probed, 1)
				tr.Finished(now, chosen.HostID, time.Second, false)
			}
		})
		b.Run(fmt.Sprintf("subset/servers=%d", n), func(b *testing.B) {
			list := servers(n)
			for b.Loop() {
				Subset("entry", "a", list, 30)
			}
		})
	}
}
