package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// trouble is one kind of disturbance.
type trouble string

// The disturbances; they come from outside of the processes, in series and overlapping.
const (
	troubleKill      trouble = "kill"
	troublePause     trouble = "pause"
	troubleTerminate trouble = "terminate"
	troubleHangUp    trouble = "hangUp"
	// The store turns one process away, or lets its calls hang.
	troubleTurnAway trouble = "turnAway"
	troubleSilence  trouble = "silence"
	// The store is down for all, loses answers, or forgets its history.
	troubleOutage  trouble = "outage"
	troubleLose    trouble = "lose"
	troubleCompact trouble = "compact"
	// The connections from the other processes are delayed, reset, pass one way only, or fall silent.
	troubleLinkDelay   trouble = "linkDelay"
	troubleLinkReset   trouble = "linkReset"
	troubleLinkOneWay  trouble = "linkOneWay"
	troubleLinkSilence trouble = "linkSilence"
	// A server refuses, breaks off, fails, or answers for another request.
	troubleServer trouble = "server"
	troubleDrain  trouble = "drain"
	// The operator withdraws a key, a trainer names a weight version.
	troubleKey     trouble = "key"
	troubleVersion trouble = "version"
)

var troubles = []trouble{
	troubleKill, troublePause, troubleTerminate, troubleHangUp, troubleTurnAway, troubleSilence, troubleOutage, troubleLose,
	troubleCompact, troubleLinkDelay, troubleLinkReset, troubleLinkOneWay, troubleLinkSilence, troubleServer, troubleDrain, troubleKey, troubleVersion,
}

// entry is one disturbance of a schedule.
type entry struct {
	at, lasts time.Duration
	what      trouble
	// target picks the process or server among those that there are.
	target int
	// draw picks a variant.
	draw float64
}

// newSchedule draws the disturbances of a run; the same plan gives the same ones.
func newSchedule(p Plan) []entry {
	kinds := p.kinds
	if len(kinds) == 0 {
		kinds = troubles
	}
	random := rand.New(rand.NewPCG(p.Seed, p.Seed))
	var entries []entry
	for at := time.Second; at < p.Length; at += time.Duration(200+random.IntN(1400)) * time.Millisecond {
		entries = append(entries, entry{
			at:     at,
			lasts:  time.Duration(300+random.IntN(4000)) * time.Millisecond,
			what:   kinds[random.IntN(len(kinds))],
			target: random.IntN(1 << 16),
			draw:   random.Float64(),
		})
	}
	slices.SortStableFunc(entries, func(a, b entry) int { return int(a.at - b.at) })
	return entries
}

// String describes a disturbance.
func (e entry) String() string {
	return fmt.Sprintf("%v: %s of %s for %v, draw %.3f", e.at, e.what, e.aim(), e.lasts, e.draw)
}

// aim names what is disturbed.
func (e entry) aim() string {
	switch e.what {
	case troubleOutage, troubleLose, troubleCompact:
		return "the store"
	case troubleKey, troubleVersion:
		return "the configuration"
	case troubleServer, troubleDrain:
		if n := e.target % (servers + servers); n >= servers {
			return engineName(n - servers)
		}
		return serviceName(e.target % (servers + servers))
	default:
		return entryName(e.target % processes)
	}
}
