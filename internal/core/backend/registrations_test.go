package backend

import (
	"fmt"
	"testing"
	"time"
)

// Guards against the load pattern in which all registrations expire in an outage of the store, and the work that waited for it meets an
// almost empty list.
func TestServersOutliveAnOutageOfTheStore(t *testing.T) {
	var all []Server
	for i := range 40 {
		all = append(all, Server{ID: fmt.Sprint(i), Draining: i == 0})
	}
	after := now.Add
	for _, test := range []struct {
		name string
		// outage is whether the store was down until now.
		outage bool
		// listedAt is when the list arrives, with the listed servers.
		listedAt time.Duration
		listed   []Server
		at       time.Duration
		want     int
	}{
		{name: "all but two expired, right after", outage: true, listed: all[1:3], at: time.Second, want: 39},
		{name: "leaving server", outage: true, listed: nil, at: time.Second, want: 39},
		{name: "within two seconds", outage: true, listedAt: time.Second, listed: nil, at: 2 * time.Second, want: 39},
		{name: "still missing after two seconds", outage: true, listed: all[1:3], at: lapseGrace, want: 2},
		{name: "later list", outage: true, listedAt: lapseGrace, listed: all[1:3], at: lapseGrace, want: 2},
		{name: "no outage", listed: all[1:3], at: 0, want: 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			var r Registrations
			r.Replace(after(-time.Minute), all)
			if test.outage {
				r.StoreIsDown(now)
			}
			r.Replace(after(test.listedAt), test.listed)
			r.Expire(after(test.at))
			if got := len(r.Servers()); got != test.want {
				t.Errorf("%d servers, want %d", got, test.want)
			}
		})
	}
}

// Guards against two runs of a server under one ID after an outage.
func TestRestartedServerReplacesItsLapsedRun(t *testing.T) {
	var r Registrations
	r.Replace(now, []Server{{ID: "a", Started: now}})
	r.StoreIsDown(now)
	r.Replace(now, nil)
	r.Replace(now, []Server{{ID: "a", Started: now.Add(time.Second)}})
	if got := r.Servers(); len(got) != 1 || !got[0].Started.Equal(now.Add(time.Second)) {
		t.Errorf("servers: %+v", got)
	}
}
