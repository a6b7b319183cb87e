package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// disturbanceKind is a kind of disturbance.
type disturbanceKind string

// The kinds of disturbances. They act on the processes from outside and may overlap.
const (
	disturbanceKill      disturbanceKind = "kill"
	disturbancePause     disturbanceKind = "pause"
	disturbanceTerminate disturbanceKind = "terminate"
	disturbanceReload    disturbanceKind = "hangUp"
	// The store rejects the requests of one process, or leaves them without a response.
	disturbanceStoreReject disturbanceKind = "turnAway"
	disturbanceStoreHang   disturbanceKind = "silence"
	// The store rejects all requests, loses responses, or compacts its event history.
	disturbanceStoreOutage      disturbanceKind = "outage"
	disturbanceStoreLoseAnswers disturbanceKind = "lose"
	disturbanceStoreCompact     disturbanceKind = "compact"
	// The store is away from the moment on at which a trainer submits a step.
	disturbanceStoreAtStep disturbanceKind = "outageAtStep"
	// The connections from the other processes are delayed, reset, or blocked in one or both directions.
	disturbanceLinkDelay   disturbanceKind = "linkDelay"
	disturbanceLinkReset   disturbanceKind = "linkReset"
	disturbanceLinkOneWay  disturbanceKind = "linkOneWay"
	disturbanceLinkBlocked disturbanceKind = "linkSilence"
	// A server refuses, cuts off or fails requests, or answers with the response to another one; or it is listed as draining.
	disturbanceServerFault disturbanceKind = "server"
	disturbanceServerDrain disturbanceKind = "drain"
	// The operator withdraws a key, or a trainer announces a model version.
	disturbanceKeyRotation  disturbanceKind = "key"
	disturbanceModelVersion disturbanceKind = "version"
	// The operator evacuates the availability zone of a server, or a server is cold.
	disturbanceEvacuation disturbanceKind = "evacuate"
	disturbanceServerCold disturbanceKind = "cold"
)

var disturbanceKinds = []disturbanceKind{
	disturbanceKill, disturbancePause, disturbanceTerminate, disturbanceReload, disturbanceStoreReject, disturbanceStoreHang,
	disturbanceStoreOutage, disturbanceStoreLoseAnswers, disturbanceStoreCompact, disturbanceLinkDelay, disturbanceLinkReset,
	disturbanceLinkOneWay, disturbanceLinkBlocked, disturbanceServerFault, disturbanceServerDrain, disturbanceKeyRotation,
	disturbanceModelVersion, disturbanceEvacuation, disturbanceServerCold, disturbanceStoreAtStep,
}

// disturbedServers is how many servers drawn disturbances choose from.
const disturbedServers = serversPerPool + serversPerPool

// disturbance is a scheduled disturbance.
type disturbance struct {
	// at is the offset from the start of the schedule.
	at, duration time.Duration
	kind         disturbanceKind
	// target selects the process or server, modulo the number of candidates.
	target int
	// draw is a random number in [0, 1) that selects a variant.
	draw float64
}

// newSchedule generates the disturbances of a run. The same plan always gives the same schedule.
func newSchedule(p Plan) []disturbance {
	kinds := p.kinds
	if len(kinds) == 0 {
		kinds = disturbanceKinds
	}
	random := rand.New(rand.NewPCG(p.Seed, p.Seed))
	var disturbances []disturbance
	for at := time.Second; at < p.Length; at += time.Duration(200+random.IntN(1400)) * time.Millisecond {
		disturbances = append(disturbances, disturbance{
			at:       at,
			duration: time.Duration(300+random.IntN(4000)) * time.Millisecond,
			kind:     kinds[random.IntN(len(kinds))],
			target:   random.IntN(1 << 16),
			draw:     random.Float64(),
		})
	}
	slices.SortStableFunc(disturbances, func(a, b disturbance) int { return int(a.at - b.at) })
	return disturbances
}

// String describes the disturbance.
func (d disturbance) String() string {
	return fmt.Sprintf("%v: %s of %s for %v, draw %.3f", d.at, d.kind, d.targetName(), d.duration, d.draw)
}

// targetName names what is disturbed.
func (d disturbance) targetName() string {
	switch d.kind {
	case disturbanceStoreOutage, disturbanceStoreLoseAnswers, disturbanceStoreCompact, disturbanceStoreAtStep:
		return "the store"
	case disturbanceKeyRotation, disturbanceModelVersion:
		return "the configuration"
	case disturbanceEvacuation:
		return zoneName(d.target % serversPerPool)
	case disturbanceServerFault, disturbanceServerDrain, disturbanceServerCold:
		if n := d.target % disturbedServers; n >= serversPerPool {
			return engineName(n - serversPerPool)
		}
		return serviceName(d.target % disturbedServers)
	default:
		return gatewayName(d.target % processCount)
	}
}
