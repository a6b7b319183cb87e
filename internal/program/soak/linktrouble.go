package soak

import (
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// maxLinkDelay is the longest delay of a chunk.
const maxLinkDelay = 400 * time.Millisecond

// linkFaultOf returns the link fault that the disturbance selects.
func linkFaultOf(d disturbance) linkFault {
	// The draw selects a direction and whether new connections pass.
	variant := int(d.draw * 4)
	fault := linkFault{passNew: variant%2 == 1}
	switch d.kind {
	case disturbanceLinkDelay:
		fault.delay = time.Duration(d.draw * float64(maxLinkDelay))
	case disturbanceLinkOneWay:
		fault.blocked[variant/2] = true
	case disturbanceLinkBlocked:
		fault.blocked = [directionCount]bool{inward: true, outward: true}
	default:
		// The other kinds have no lasting link fault.
	}
	return fault
}

// disturbLink disturbs the connections that other processes open to one process.
func (env *environment) disturbLink(d disturbance) {
	l := env.processes[d.target%len(env.processes)].link
	if d.kind == disturbanceLinkReset {
		l.reset()
		return
	}
	l.setFault(linkFaultOf(d))
	ticker.Sleep(env.ctx, d.duration)
	l.clearFault()
}
