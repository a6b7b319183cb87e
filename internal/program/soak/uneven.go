package soak

import "time"

const (
	// engineCount makes one engine in four fast. Drawn disturbances choose among the first serversPerPool, so that the schedules of kept seeds
	// stay the same.
	engineCount = 4
	// fastTimeFactor is the time that work takes at the fast engine, divided by that at the others.
	fastTimeFactor = 0.5
	// Work at an engine on a shared host takes sharedSlowdown times as long for sharedSlowTime of each sharedPeriod.
	sharedPeriod   = 4 * time.Second
	sharedSlowTime = 600 * time.Millisecond
	sharedSlowdown = 2.5
)

// makeEnginesUneven makes the first engine fast. The second is on a shared host and reports it, the third reports the usual speed
// although its host is shared, and the fourth reports nothing.
func (env *environment) makeEnginesUneven() {
	env.engines[0].SetTimeFactor(fastTimeFactor)
	env.engines[1].SetSlowdown(sharedHost, sharedHost)
	env.engines[2].SetSlowdown(sharedHost, func(time.Time) float64 { return 1 })
}

// sharedHost returns the slowdown of a shared host at a time.
func sharedHost(at time.Time) float64 {
	if time.Duration(at.UnixNano())%sharedPeriod < sharedSlowTime {
		return sharedSlowdown
	}
	return 1
}
