package soak

import (
	"slices"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
	"github.com/oleandershelf/oleandershelf/platform/platformtest"
)

const (
	// coldPerSecond is how many requests a second a cold server bears, and coldDuration how long it is cold after its start.
	coldPerSecond = 4
	coldDuration  = 2 * time.Second
	// evacuationGrace is how long after its acknowledgement an evacuation may still be unknown to a process, and coldGrace how long after the
	// server's registration that it is cold. A process that could not learn of changes has startGrace once it can again.
	evacuationGrace = 3 * time.Second
	coldGrace       = 1500 * time.Millisecond
)

// evacuation is one evacuation of an availability zone.
type evacuation struct {
	zone string
	// from is when the store acknowledged it, and to when it was taken back; zero while it lasts.
	from, to time.Time
}

// coldTime is a time in which a server was cold.
type coldTime struct {
	server *platformtest.Server
	interval
}

// evacuate evacuates a zone for the duration, unless it is evacuated already.
func (env *environment) evacuate(zone string, duration time.Duration) {
	if e, began := env.beginEvacuation(zone); began {
		ticker.Sleep(env.ctx, duration)
		env.endEvacuation(e)
	}
}

func (env *environment) beginEvacuation(zone string) (*evacuation, bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if slices.ContainsFunc(env.evacuations, func(e *evacuation) bool { return e.zone == zone && e.to.IsZero() }) {
		return nil, false
	}
	env.store.Evacuate(zone)
	e := &evacuation{zone: zone, from: time.Now()}
	env.evacuations = append(env.evacuations, e)
	return e, true
}

func (env *environment) endEvacuation(e *evacuation) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if e.to.IsZero() {
		e.to = time.Now()
		env.store.EndEvacuation(e.zone)
	}
}

// endEvacuations ends all evacuations.
func (env *environment) endEvacuations() {
	env.mu.Lock()
	evacuations := slices.Clone(env.evacuations)
	env.mu.Unlock()
	for _, e := range evacuations {
		env.endEvacuation(e)
	}
}

// makeCold makes a server cold for the duration. The server is cold from before its registration on, which takes seconds when the machine is
// busy: the duration doesn't start again with the end of the registration.
func (env *environment) makeCold(server *platformtest.Server, duration time.Duration) {
	until := time.Now().Add(duration)
	server.SetCold(duration)
	env.store.Register(server, false)
	from := time.Now()
	env.mu.Lock()
	env.coldTimes = append(env.coldTimes, coldTime{server: server, interval: interval{from: from, to: until}})
	env.mu.Unlock()
	ticker.Sleep(env.ctx, duration)
	env.store.Register(server, false)
}

// beginStoreTrouble starts a time in which the store serves no process, or loses answers. The returned function ends and records it.
func (env *environment) beginStoreTrouble() (end func()) {
	from := time.Now()
	return func() {
		env.mu.Lock()
		defer env.mu.Unlock()
		env.storeTroubles = append(env.storeTroubles, interval{from: from, to: time.Now()})
	}
}

// mayLackChanges reports whether at some time in the interval a process may not have learned of a change in the store.
func (env *environment) mayLackChanges(during interval) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	overlaps := func(trouble interval) bool {
		return during.from.Before(trouble.to.Add(startGrace)) && !during.to.Before(trouble.from)
	}
	return slices.ContainsFunc(env.isolations, overlaps) || slices.ContainsFunc(env.storeTroubles, overlaps)
}

// checkZones checks that evacuated zones got no requests and cold servers few.
func (l *loadGenerator) checkZones() {
	for _, e := range l.env.evacuations {
		for _, server := range l.env.allServers() {
			if server.Zone == e.zone {
				l.checkEvacuated(server, e)
			}
		}
	}
	for _, cold := range l.env.coldTimes {
		known := cold.from.Add(coldGrace)
		if l.env.mayLackChanges(cold.interval) {
			continue
		}
		most := cold.server.MostInASecond(known, cold.to)
		l.checker.check(guaranteeCold, most <= coldPerSecond, "server %s, cold from %s to %s, got %d requests in a second",
			cold.server.ID, formatTime(cold.from), formatTime(cold.to), most)
	}
}

// checkEvacuated checks that no request reached a server in an evacuation of its zone that all processes could know.
func (l *loadGenerator) checkEvacuated(server *platformtest.Server, e *evacuation) {
	known := e.from.Add(evacuationGrace)
	late := 0
	for _, request := range server.Requests() {
		at := request.ReceivedAt
		if at.After(known) && at.Before(e.to) && !l.env.mayLackChanges(interval{from: at, to: at}) {
			late++
		}
	}
	l.checker.check(guaranteeEvacuation, late == 0, "zone %s was evacuated from %s to %s; %d requests reached server %s after %s",
		e.zone, formatTime(e.from), formatTime(e.to), late, server.ID, formatTime(known))
}
