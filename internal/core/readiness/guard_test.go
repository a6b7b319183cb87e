package readiness

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

const pool = "engines"

// newTestGuard returns the guard of the only entry, with servers in two zones and a limit of ten requests a second.
func newTestGuard(records ...Record) *Guard {
	g := NewGuard("entry-0", map[string]string{"a": "north", "b": "south"})
	g.SetEntries(start, []string{"entry-0"}, nil)
	g.SetConditions(start, conditions(1))
	putServers(g, start, records...)
	return g
}

func putServers(g *Guard, now time.Time, records ...Record) {
	for _, record := range records {
		g.PutServer(now, record)
	}
}

func conditions(revision uint64, evacuated ...string) Conditions {
	c := Conditions{Evacuated: map[string]bool{}, Revision: revision, Limits: map[string]Limit{pool: {PerSecond: 10, Duration: 3 * time.Second}}}
	for _, zone := range evacuated {
		c.Evacuated[zone] = true
	}
	return c
}

func record(id, zone string, revision uint64, coldLeft time.Duration) Record {
	return Record{ID: id, Pool: pool, AvailabilityZone: zone, Started: start, Revision: revision, ColdLeft: coldLeft}
}

// sendAll sends requests to the server until it is denied, and returns how many were sent.
func sendAll(g *Guard, now time.Time, id string) int {
	server := g.servers[id]
	for count := 0; ; count++ {
		if count == 1000 || g.CheckLocation(server, nil) != Allowed || g.CheckCold(now, server) != Allowed {
			return count
		}
		g.Sent(now, server)
	}
}

func TestEvacuatedZoneGetsNothing(t *testing.T) {
	g := newTestGuard(record("x", "a", 1, 0), record("y", "b", 1, 0))
	g.SetConditions(start, conditions(2, "a"))
	if got := g.CheckLocation(g.servers["x"], nil); got != Evacuated {
		t.Errorf("server of the evacuated zone: %v", got)
	}
	if got := g.CheckLocation(g.servers["y"], nil); got != Allowed {
		t.Errorf("server of another zone: %v", got)
	}
	putServers(g, start, record("x", "a", 3, 0), record("z", "a", 3, 0))
	if got := g.CheckLocation(g.servers["z"], nil); got != Evacuated {
		t.Errorf("server that started in the evacuated zone: %v", got)
	}
}

// Guards against sending a zone its full load at the end of an evacuation, when its servers are cold and their records don't say so yet.
func TestServersAreColdAfterAnEvacuation(t *testing.T) {
	for _, test := range []struct {
		name string
		// record is the server's record at the end of the evacuation, at revision 9.
		record Record
		cold   bool
	}{
		{name: "record from before the end", record: record("x", "a", 8, 0), cold: true},
		{name: "newer record of a cold server", record: record("x", "a", 10, time.Second), cold: true},
		{name: "newer record of a warm server", record: record("x", "a", 10, 0)},
		{name: "server of another zone", record: record("x", "b", 8, 0)},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, recordFirst := range []bool{false, true} {
				g := newTestGuard(record("x", test.record.AvailabilityZone, 1, 0))
				g.SetConditions(start, conditions(2, "a"))
				if recordFirst {
					putServers(g, start, test.record)
				}
				g.SetConditions(start, conditions(9))
				putServers(g, start, test.record)
				if got := sendAll(g, start, "x") <= 10; got != test.cold {
					t.Errorf("cold: %v (record first: %v)", got, recordFirst)
				}
				if got := sendAll(g, start.Add(3*time.Second), "x"); got != 1000 {
					t.Errorf("still cold after its cold time: %d requests (record first: %v)", got, recordFirst)
				}
			}
		})
	}
}

// Guards against trusting a record that a server wrote before it restarted under its ID.
func TestUnreachableServerCountsAsCold(t *testing.T) {
	for _, test := range []struct {
		name string
		fail func(g *Guard, s *Server)
		cold bool
	}{
		{name: "no connection", fail: func(g *Guard, s *Server) { g.Failed(start, s, true) }, cold: true},
		{name: "one broken connection", fail: func(g *Guard, s *Server) { g.Failed(start, s, false) }},
		{name: "two broken connections", fail: func(g *Guard, s *Server) { g.Failed(start, s, false); g.Failed(start, s, false) }, cold: true},
		{name: "answer between broken connections", fail: func(g *Guard, s *Server) {
			g.Failed(start, s, false)
			g.Answered(s)
			g.Failed(start, s, false)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := newTestGuard(record("x", "a", 1, 0))
			test.fail(g, g.servers["x"])
			putServers(g, start, record("x", "a", 2, 0))
			if got := sendAll(g, start, "x") <= 10; got != test.cold {
				t.Errorf("cold: %v", got)
			}
		})
	}
}

// Guards against two loads within a second at a server that restarts under its ID: requests to the earlier run may reach the new one.
func TestRestartKeepsTheCountOfRequests(t *testing.T) {
	g := newTestGuard(record("x", "a", 1, time.Second))
	first := sendAll(g, start, "x")
	restarted := record("x", "a", 2, 3*time.Second)
	restarted.Started = start.Add(time.Millisecond)
	putServers(g, start, restarted)
	if got := sendAll(g, start.Add(time.Millisecond), "x"); got != 0 {
		t.Errorf("%d requests after %d a moment before", got, first)
	}
}

func TestRegions(t *testing.T) {
	g := newTestGuard(record("x", "a", 1, 0), record("y", "unknown", 1, 0))
	for _, test := range []struct {
		server  string
		regions []string
		want    Denial
	}{
		{server: "x", want: Allowed},
		{server: "x", regions: []string{"south", "north"}, want: Allowed},
		{server: "x", regions: []string{"south"}, want: OutsideRegions},
		{server: "x", regions: []string{}, want: OutsideRegions},
		{server: "y", regions: []string{"north"}, want: OutsideRegions},
	} {
		if got := g.CheckLocation(g.servers[test.server], test.regions); got != test.want {
			t.Errorf("server %s, regions %v: %v", test.server, test.regions, got)
		}
	}
}

// fleet is the guards of several entries that see the same servers.
type fleet struct {
	hosts  []string
	guards []*Guard
}

// newFleet returns entries that know each other, and run batch jobs of one model each if they are among the first runners.
func newFleet(entries, runners int, records []Record) *fleet {
	f := &fleet{}
	for i := range entries {
		f.hosts = append(f.hosts, fmt.Sprintf("entry-%d", i))
	}
	for _, host := range f.hosts {
		g := NewGuard(host, nil)
		g.SetConditions(start, conditions(1))
		putServers(g, start, records...)
		f.guards = append(f.guards, g)
	}
	f.setAlive(start, runners, f.hosts, 0, entries)
	return f
}

// setAlive tells the entries from one index to another that the given ones are alive.
func (f *fleet) setAlive(now time.Time, runners int, alive []string, from, to int) {
	byModel := map[string][]string{}
	for i := range min(runners, len(alive)) {
		byModel[fmt.Sprintf("model-%d", i)] = alive[i : i+1]
	}
	for _, g := range f.guards[from:to] {
		g.SetEntries(now, alive, byModel)
	}
}

// worstSecond has every entry send as much as it may at each of the times, and returns the most requests to the server in a second.
func (f *fleet) worstSecond(id string, times []time.Time) int {
	worst := 0
	var sent []time.Time
	for _, at := range times {
		for _, g := range f.guards {
			for range sendAll(g, at, id) {
				sent = append(sent, at)
			}
		}
		recent := 0
		for _, s := range sent {
			if at.Sub(s) < time.Second {
				recent++
			}
		}
		worst = max(worst, recent)
	}
	return worst
}

// everyTenth returns points of time from start on, a tenth of a second apart.
func everyTenth(count int) []time.Time {
	var times []time.Time
	for i := range count {
		times = append(times, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	return times
}

// Guards against the load pattern in which all entries see one empty server, don't know each other's choices, and send it several times the
// requests that it bears while it is cold. The server must still get some.
func TestColdServerGetsItsLimitFromAllEntries(t *testing.T) {
	models := map[string]int{"model-0": 1, "model-1": 1, "model-2": 1, "model-3": 1}
	for _, entries := range []int{23, 93, 380} {
		for _, test := range []struct {
			name   string
			models map[string]int
		}{{name: "engine", models: models}, {name: "plain service"}} {
			t.Run(fmt.Sprintf("%d entries, %s", entries, test.name), func(t *testing.T) {
				cold := record("x", "a", 1, 3*time.Second)
				cold.Models = test.models
				f := newFleet(entries, 4, []Record{cold})
				if got := f.worstSecond("x", everyTenth(30)); got < 5 || got > 10 {
					t.Errorf("%d requests in the worst second", got)
				}
			})
		}
	}
}

// Guards against several times the limit in a partition, when each side selects an entry of its own.
func TestPartitionKeepsTheLimit(t *testing.T) {
	for _, entries := range []int{23, 93, 380} {
		for _, engine := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d entries, engine %v", entries, engine), func(t *testing.T) {
				cold := record("x", "a", 1, time.Hour)
				if engine {
					cold.Models = map[string]int{"model-0": 1}
				}
				f := newFleet(entries, 4, []Record{cold})
				worst := f.worstSecond("x", everyTenth(5))
				half := entries / 2
				f.setAlive(start.Add(2*time.Second), 4, f.hosts[:half], 0, half)
				f.setAlive(start.Add(2*time.Second), 4, f.hosts[half:], half, entries)
				var times []time.Time
				for _, at := range everyTenth(200) {
					times = append(times, at.Add(2*time.Second))
				}
				worst = max(worst, f.worstSecond("x", times))
				for i := range f.guards {
					f.setAlive(start.Add(30*time.Second), 4, f.hosts[i:i+1], i, i+1)
				}
				worst = max(worst, f.worstSecond("x", []time.Time{start.Add(30 * time.Second), start.Add(31 * time.Second)}))
				if worst > 10 {
					t.Errorf("%d requests in the worst second", worst)
				}
			})
		}
	}
}

// Guards against a herd on a zone of 14 engines that returns cold under full load: each stays within its limit, and together they take
// requests from the first second on.
func TestZoneReturnsCold(t *testing.T) {
	models := map[string]int{"model-0": 1, "model-1": 1, "model-2": 1, "model-3": 1}
	for _, entries := range []int{23, 93, 380} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			var records []Record
			for i := range 14 {
				engine := record(fmt.Sprintf("engine-%d", i), "a", 1, 0)
				engine.Models = models
				records = append(records, engine)
			}
			f := newFleet(entries, 4, records)
			for _, g := range f.guards {
				g.SetConditions(start, conditions(2, "a"))
				g.SetConditions(start, conditions(3))
			}
			sum := 0
			for _, r := range records {
				worst := f.worstSecond(r.ID, everyTenth(20))
				sum += worst
				if worst > 10 {
					t.Errorf("%s: %d requests in the worst second", r.ID, worst)
				}
			}
			if sum < 14*5 {
				t.Errorf("the zone takes %d requests a second", sum)
			}
		})
	}
}

// Guards against an entry that doesn't know the others yet and takes itself for the selected one.
func TestStartingEntryUsesNoColdServer(t *testing.T) {
	g := NewGuard("entry-0", nil)
	g.SetConditions(start, conditions(1))
	putServers(g, start, record("cold", "a", 1, time.Second), record("warm", "a", 1, 0))
	if got := sendAll(g, start, "cold"); got != 0 {
		t.Errorf("%d requests to a cold server", got)
	}
	if got := sendAll(g, start, "warm"); got != 1000 {
		t.Errorf("%d requests to a warm server", got)
	}
}
