package soak

import (
	"time"

	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

// maxLinkDelay is the longest delay of a piece on a harmed link.
const maxLinkDelay = 400 * time.Millisecond

// harmOf draws what is wrong with a link, within the kind of the disturbance.
func harmOf(e entry) harm {
	// The draw picks a way and whether new connections work.
	variant := int(e.draw * 4)
	h := harm{newPass: variant%2 == 1}
	switch e.what {
	case troubleLinkDelay:
		h.delay = time.Duration(e.draw * float64(maxLinkDelay))
	case troubleLinkOneWay:
		h.held[variant/2] = true
	case troubleLinkSilence:
		h.held = [ways]bool{inward: true, outward: true}
	default:
		// The others do no lasting harm.
	}
	return h
}

// disturbLink carries out a disturbance of the connections that other processes have to one.
func (w *world) disturbLink(e entry) {
	l := w.processes[e.target%len(w.processes)].link
	if e.what == troubleLinkReset {
		l.reset()
		return
	}
	l.hurt(harmOf(e))
	ticker.Sleep(w.ctx, e.lasts)
	l.heal()
}
