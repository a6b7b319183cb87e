package soak

import (
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
	// target picks the process or server.
	target int
	// draw picks a variant.
	draw float64
}

// newSchedule draws the disturbances of a run; the same plan gives the same ones.
func newSchedule(p plan) []entry {
	random := rand.New(rand.NewPCG(p.seed, p.seed))
	var entries []entry
	for at := time.Second; at < p.length; at += time.Duration(200+random.IntN(1400)) * time.Millisecond {
		entries = append(entries, entry{
			at:     at,
			lasts:  time.Duration(300+random.IntN(4000)) * time.Millisecond,
			what:   p.kinds[random.IntN(len(p.kinds))],
			target: random.IntN(1 << 16),
			draw:   random.Float64(),
		})
	}
	slices.SortStableFunc(entries, func(a, b entry) int { return int(a.at - b.at) })
	return entries
}
