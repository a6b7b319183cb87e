package configuration

import (
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// errSuperseded: the update's answer was lost, and what is there now doesn't show whether it was in
// force for a while.
var errSuperseded = errors.New("later changes followed")

// numbered is a ticket that is to be accepted under its number.
type numbered struct {
	number int
	ticket ticket.Ticket
	digest string
	// early is until when the ticket waits for its predecessors.
	early time.Time
}

func (n *numbered) decide(view *ticket.View, now time.Time, doubted bool) (decision, error) {
	head := view.Head()
	switch head.NumberStatus(n.number, n.digest) {
	case ticket.NumberNext:
		change, err := view.Apply(n.ticket)
		if err != nil {
			return decision{}, refuseTicket(n.number, err)
		}
		return decision{change: change}, nil
	case ticket.NumberAccepted:
		return decision{done: true}, nil
	case ticket.NumberEarly:
		return n.decideEarly(head, now)
	case ticket.NumberTaken:
		return decision{}, verdict.Refuse(verdict.NotRun, verdict.ReasonTicketTaken, 0,
			"ticket %d was accepted with another content; the next number is %d", n.number, head.LastTicket+1)
	case ticket.NumberForgotten:
		if doubted {
			return decision{}, n.unsettled(errSuperseded)
		}
		return decision{}, verdict.Refuse(verdict.NotRun, verdict.ReasonTicketTaken, 0,
			"ticket %d is older than the last %d, whose content is kept; whether it is the same can't be told; the next number is %d",
			n.number, ticket.KeptDigests, head.LastTicket+1)
	default:
		return decision{}, verdict.Refuse(verdict.NotRun, verdict.ReasonBadRequest, 0,
			"ticket %d: numbers start at 1", n.number)
	}
}

func (n *numbered) decideEarly(head ticket.Head, now time.Time) (decision, error) {
	if left := n.early.Sub(now); left > 0 {
		return decision{wait: left}, nil
	}
	return decision{}, verdict.Refuse(verdict.NotRun, verdict.ReasonTicketEarly, retrySoon,
		"ticket %d is early: ticket %d is expected", n.number, head.LastTicket+1)
}

func (n *numbered) unsettled(cause error) *verdict.Refusal {
	return verdict.Refuse(verdict.MayHaveRun, verdict.ReasonTicketUnsettled, retryLater,
		"ticket %d may have been accepted; send the same ticket again: %v", n.number, cause)
}

// announced is a model version that servers are to load beside the one they serve.
type announced struct{ versioned }

func (a *announced) decide(view *ticket.View, _ time.Time, doubted bool) (decision, error) {
	if upcoming, ok := view.UpcomingVersion(a.version.Model); ok && upcoming == a.version {
		return decision{done: true}, nil
	}
	if current, ok := view.ModelVersion(a.version.Model); ok && current == a.version {
		return decision{done: true}, nil
	}
	head, err := view.WithUpcomingVersion(a.version)
	if err == nil {
		return decision{change: ticket.Change{Head: head}}, nil
	}
	return a.refuse(view, err, doubted)
}

// versioned is a model version that is published without a ticket.
type versioned struct{ version ticket.ModelVersion }

func (v *versioned) decide(view *ticket.View, _ time.Time, doubted bool) (decision, error) {
	current, known := view.ModelVersion(v.version.Model)
	if known && current == v.version {
		return decision{done: true}, nil
	}
	head, err := view.WithModelVersion(v.version)
	if err == nil {
		return decision{change: ticket.Change{Head: head}}, nil
	}
	return v.refuse(view, err, doubted)
}

// refuse says why the version can't be taken; one that was replaced by a later one meanwhile may have been taken.
func (v *versioned) refuse(view *ticket.View, err error, doubted bool) (decision, error) {
	current, known := view.ModelVersion(v.version.Model)
	if known && v.version.Version <= current.Version && doubted {
		return decision{}, v.unsettled(errSuperseded)
	}
	if known && v.version.Version <= current.Version {
		return decision{}, verdict.Refuse(verdict.NotRun, verdict.ReasonFenced, 0, "%v", err)
	}
	return decision{}, verdict.Refuse(verdict.NotRun, verdict.ReasonBadRequest, 0, "%v", err)
}

func (v *versioned) unsettled(cause error) *verdict.Refusal {
	return verdict.Refuse(verdict.MayHaveRun, verdict.ReasonTicketUnsettled, retryLater,
		"version %d of model %s may have been published; publish it again: %v", v.version.Version, v.version.Model, cause)
}
