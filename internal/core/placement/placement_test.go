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
	start       = time.Unix(1000, 0).UTC()
	errNoAnswer = errors.New("no answer")
)

// newServers returns n servers spread over three availability zones.
func newServers(n int) []Server {
	out := make([]Server, n)
	for i := range out {
		out[i] = Server{HostID: fmt.Sprintf("s%04d", i), AvailabilityZone: string(rune('a' + i%3))}
	}
	return out
}

func hostIDs(list []Server) []string {
	out := make([]string, 0, len(list))
	for _, s := range list {
		out = append(out, s.HostID)
	}
	return out
}

func TestSubset(t *testing.T) {
	all := newServers(60)
	first := Subset("entry1", "a", all, 9)
	zones := map[string]int{}
	for _, s := range first {
		zones[s.AvailabilityZone]++
	}
	if diff := cmp.Diff(map[string]int{"a": 6, "b": 2, "c": 1}, zones, cmpopts.SortMaps(func(x, y string) bool { return x < y })); diff != "" {
		t.Error("servers by zone, want the own zone first and a third from the others:", diff)
	}
	if first[0].AvailabilityZone != "a" {
		t.Errorf("the first server is in zone %s", first[0].AvailabilityZone)
	}
	shuffled := slices.Clone(all)
	slices.Reverse(shuffled)
	if diff := cmp.Diff(hostIDs(first), hostIDs(Subset("entry1", "a", shuffled, 9))); diff != "" {
		t.Error("the subset depends on the order of the server list:", diff)
	}
	without := slices.DeleteFunc(slices.Clone(all), func(s Server) bool { return s.HostID == first[0].HostID })
	unchanged := 0
	for _, id := range hostIDs(Subset("entry1", "a", without, 9)) {
		if slices.Contains(hostIDs(first), id) {
			unchanged++
		}
	}
	if unchanged != 8 {
		t.Errorf("the subset kept %d of its servers after one left, want 8", unchanged)
	}
	if got := len(Subset("entry1", "d", all, 100)); got != 60 {
		t.Errorf("%d servers for a subset larger than the pool, want all 60", got)
	}
}

func TestSubsetsSpreadEntriesEvenly(t *testing.T) {
	all := newServers(220)
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

func TestCandidatesExcludeLeavingAndTriedServers(t *testing.T) {
	list := newServers(6)
	list[0].Leaving = true
	tr := NewTracker(WithSeed(1))
	tr.ObserveLoad(start, "s0002", request.Load{Draining: true})
	for range 50 {
		got := hostIDs(tr.Candidates(start, list, 7, map[string]bool{"s0001": true}))
		for _, excluded := range []string{"s0000", "s0001", "s0002"} {
			if slices.Contains(got, excluded) {
				t.Fatalf("%s is among the candidates %v", excluded, got)
			}
		}
	}
	if got := tr.Candidates(start, list[:1], 0, nil); len(got) != 0 {
		t.Errorf("candidates %v of a pool whose only server is leaving, want none", got)
	}
}

// Guards against refused calls in a pool of two servers of which one has just started to leave: when all random draws
// fell on that one, the call was refused although the other server was free. It happened to about one call in 128.
func TestCandidatesIncludeAllServersOfASmallPool(t *testing.T) {
	tracker := NewTracker()
	for range 5000 {
		if got := tracker.Candidates(start, newServers(2), 0, nil); len(got) != 2 {
			t.Fatalf("candidates %v, want both servers", hostIDs(got))
		}
	}
}

func TestCandidatesStartWithPrefixServers(t *testing.T) {
	tr := NewTracker(WithSeed(1))
	tr.ObservePrefix(start, 7, "s0030")
	if got := tr.Candidates(start.Add(locationTTL), newServers(60), 7, nil)[0].HostID; got != "s0030" {
		t.Errorf("first candidate %s, want the server that last held the prefix", got)
	}
	assigned := tr.Candidates(start.Add(2*locationTTL), newServers(60), 7, nil)[0].HostID
	other := NewTracker(WithSeed(2)).Candidates(start, newServers(60), 7, nil)[0].HostID
	if assigned != other {
		t.Errorf("two entries assign the prefix to %s and %s, want the same server", assigned, other)
	}
}

func TestChoose(t *testing.T) {
	a, b := Server{HostID: "a"}, Server{HostID: "b"}
	tests := []struct {
		name   string
		before map[string]request.Load
		probed []ProbeResult
		want   string
		none   bool
	}{
		{name: "the shorter wait", probed: []ProbeResult{{Server: a, Load: request.Load{Wait: 2 * time.Second}}, {Server: b, Load: request.Load{Wait: time.Second}}}, want: "b"},
		{name: "the lower utilisation where none has a queue", probed: []ProbeResult{{Server: a, Load: request.Load{Running: 4, Limit: 8}}, {Server: b, Load: request.Load{Running: 1, Limit: 8}}}, want: "b"},
		{name: "a cached prefix outweighs a short wait", probed: []ProbeResult{{Server: a, Load: request.Load{Wait: 100 * time.Millisecond, PrefixCached: true}}, {Server: b}}, want: "a"},
		{name: "a cached prefix does not outweigh a long wait", probed: []ProbeResult{{Server: a, Load: request.Load{Wait: time.Second, PrefixCached: true}}, {Server: b}}, want: "b"},
		{name: "not a leaving server", probed: []ProbeResult{{Server: a, Load: request.Load{Draining: true}}, {Server: b, Load: request.Load{Wait: time.Hour}}}, want: "b"},
		{name: "no server if all are leaving", probed: []ProbeResult{{Server: a, Load: request.Load{Draining: true}}}, none: true},
		{name: "the last load report if all probes failed", before: map[string]request.Load{"a": {Wait: time.Second}, "b": {Wait: 2 * time.Second}}, probed: []ProbeResult{{Server: a, Err: errNoAnswer}, {Server: b, Err: errNoAnswer}}, want: "a"},
		{name: "an answered probe before a failed one", probed: []ProbeResult{{Server: a, Err: errNoAnswer}, {Server: b, Load: request.Load{Wait: time.Second}}}, want: "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := NewTracker()
			for id, load := range tt.before {
				tr.ObserveLoad(start, id, load)
			}
			got, ok := tr.Choose(start, tt.probed, 1)
			if ok == tt.none || got.HostID != tt.want {
				t.Errorf("got server %q, found %v", got.HostID, ok)
			}
		})
	}
}

// Guards against a slow server that keeps getting requests: one of ten servers takes five times as long without
// failing, its short queue attracts requests, and a tenth of the callers wait five times as long. It must be ejected,
// get a trial from time to time, and be used again once it is as fast as the others.
func TestSlowServerIsEjectedAndTried(t *testing.T) {
	tr := NewTracker(WithSeed(1))
	list := newServers(10)
	now := start
	finishRequests := func(slow time.Duration) {
		for _, s := range list {
			took := 100 * time.Millisecond
			if s.HostID == "s0000" {
				took = slow
			}
			tr.ObserveRequest(now, s.HostID, took, false)
		}
		now = now.Add(time.Second)
	}
	for range 10 {
		finishRequests(500 * time.Millisecond)
	}
	if diff := cmp.Diff([]string{"s0000"}, tr.Ejected()); diff != "" {
		t.Fatal(diff)
	}
	trials := 0
	for range 60 {
		now = now.Add(time.Second)
		if slices.Contains(hostIDs(tr.Candidates(now, list, 0, nil)), "s0000") {
			trials++
			tr.Choose(now, []ProbeResult{{Server: list[0]}, {Server: list[1]}}, 1)
		}
	}
	if trials < 2 || trials > 5 {
		t.Errorf("%d trials in a minute, want 2 to 5", trials)
	}
	for range 30 {
		finishRequests(100 * time.Millisecond)
	}
	if got := tr.Ejected(); len(got) != 0 {
		t.Errorf("%v still ejected", got)
	}
}

// Guards against comparing servers of different pools: in an entry that serves a pool of lookups of a millisecond and
// one of generations of seconds, all model servers would count as slow and be ejected.
func TestServersAreComparedWithinTheirPool(t *testing.T) {
	tr := NewTracker(WithSeed(1))
	for i, s := range newServers(10) {
		s.Pool = "lookups"
		took := time.Millisecond
		if i >= 6 {
			s.Pool = "generations"
			took = 5 * time.Second
		}
		tr.Choose(start, []ProbeResult{{Server: s}}, 1)
		for range 10 {
			tr.ObserveRequest(start, s.HostID, took, false)
		}
	}
	tr.ObserveRequest(start.Add(time.Second), "s0000", time.Millisecond, false)
	if got := tr.Ejected(); len(got) != 0 {
		t.Errorf("ejected %v, want none", got)
	}
}

func TestAllServersEjectedAreStillCandidates(t *testing.T) {
	tr := NewTracker(WithSeed(1))
	list := newServers(3)
	for _, s := range list {
		for range 10 {
			tr.ObserveRequest(start, s.HostID, 0, true)
		}
	}
	if got := tr.Candidates(start, list, 0, nil); len(got) != 3 {
		t.Errorf("%d candidates where all servers fail, want all 3", len(got))
	}
}

// Guards against retries that overload a failing pool: when every request fails and is retried twice, the pool gets
// three times the load. Retries must stay near a tenth of the first attempts.
func TestBudgetBoundsRetries(t *testing.T) {
	b := NewRetryBudget()
	retries := 0
	for range 1000 {
		b.Deposit()
		for range 2 {
			if b.TryWithdraw() {
				retries++
			}
		}
	}
	if want := 1000*defaultRetryRatio + defaultInitialRetries; retries > int(want)+1 || retries < int(want)-1 {
		t.Errorf("%d retries for 1000 requests, want %v", retries, want)
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{10, 100, 2200} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			tr := NewTracker(WithSeed(1))
			list := newServers(n)
			for _, s := range list {
				tr.ObserveRequest(start, s.HostID, time.Second, false)
			}
			for i := 0; b.Loop(); i++ {
				now := start.Add(time.Duration(i) * time.Millisecond)
				candidates := tr.Candidates(now, list, uint64(i%100+1), nil)
				probed := make([]ProbeResult, len(candidates))
				for j, s := range candidates {
					probed[j].Server = s
				}
				chosen, _ := tr.Choose(now, probed, 1)
				tr.ObserveRequest(now, chosen.HostID, time.Second, false)
			}
		})
		b.Run(fmt.Sprintf("subset/servers=%d", n), func(b *testing.B) {
			list := newServers(n)
			for b.Loop() {
				Subset("entry", "a", list, 30)
			}
		})
	}
}
