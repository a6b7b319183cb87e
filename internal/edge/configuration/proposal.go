package configuration

import (
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// errSuperseded is the cause if the response to an update was lost and the current head doesn't show whether the
// update was in force before later ones.
var errSuperseded = errors.New("later changes followed")

// ticketProposal proposes a ticket under its number.
type ticketProposal struct {
	number int
	ticket ticket.Ticket
	digest string
	// waitUntil is the end of the wait for the predecessors of the ticket.
	waitUntil time.Time
}

func (p *ticketProposal) decide(view *ticket.View, now time.Time, wasUnconfirmed bool) (decision, error) {
	head := view.Head()
	switch head.NumberStatus(p.number, p.digest) {
	case ticket.NumberNext:
		change, err := view.Apply(p.ticket)
		if err != nil {
			return decision{}, refuseTicket(p.number, err)
		}
		return decision{change: change}, nil
	case ticket.NumberAccepted:
		return decision{done: true}, nil
	case ticket.NumberEarly:
		return p.decideEarly(head, now)
	case ticket.NumberTaken:
		return decision{}, verdict.Refuse(verdict.NotRun, verdict.ReasonTicketTaken, 0,
			"ticket %d was accepted with another content; the next number is %d", p.number, head.LastTicket+1)
	case ticket.NumberForgotten:
		if wasUnconfirmed {
			return decision{}, p.outcomeUnknown(errSuperseded)
		}
		return decision{}, verdict.Refuse(verdict.NotRun, verdict.ReasonTicketTaken, 0,
			"ticket %d is older than the last %d, whose content is kept; whether it is the same can't be told; the next number is %d",
			p.number, ticket.KeptDigests, head.LastTicket+1)
	default:
		return decision{}, verdict.Refuse(verdict.NotRun, verdict.ReasonBadRequest, 0,
			"ticket %d: numbers start at 1", p.number)
	}
}

func (p *ticketProposal) decideEarly(head ticket.Head, now time.Time) (decision, error) {
	if left := p.waitUntil.Sub(now); left > 0 {
		return decision{wait: left}, nil
	}
	return decision{}, verdict.Refuse(verdict.NotRun, verdict.ReasonTicketEarly, retrySoon,
		"ticket %d is early: ticket %d is expected", p.number, head.LastTicket+1)
}

func (p *ticketProposal) outcomeUnknown(cause error) *verdict.Refusal {
	return verdict.Refuse(verdict.MayHaveRun, verdict.ReasonTicketUnsettled, retryLater,
		"ticket %d may have been accepted; send the same ticket again: %v", p.number, cause)
}

// upcomingProposal proposes a model version that backend servers are to load beside the one they serve.
type upcomingProposal struct{ versionProposal }

func (p *upcomingProposal) decide(view *ticket.View, _ time.Time, wasUnconfirmed bool) (decision, error) {
	if upcoming, ok := view.UpcomingVersion(p.version.Model); ok && upcoming == p.version {
		return decision{done: true}, nil
	}
	if current, ok := view.ModelVersion(p.version.Model); ok && current == p.version {
		return decision{done: true}, nil
	}
	head, err := view.WithUpcomingVersion(p.version)
	if err == nil {
		return decision{change: ticket.Change{Head: head}}, nil
	}
	return p.refuse(view, err, wasUnconfirmed)
}

// versionProposal proposes the model version to serve, without a ticket.
type versionProposal struct{ version ticket.ModelVersion }

func (p *versionProposal) decide(view *ticket.View, _ time.Time, wasUnconfirmed bool) (decision, error) {
	current, known := view.ModelVersion(p.version.Model)
	if known && current == p.version {
		return decision{done: true}, nil
	}
	head, err := view.WithModelVersion(p.version)
	if err == nil {
		return decision{change: ticket.Change{Head: head}}, nil
	}
	return p.refuse(view, err, wasUnconfirmed)
}

// refuse returns the reason why the version can't be set. A version that a later one has replaced may have been in
// force if an update of this attempt had an unknown outcome.
func (p *versionProposal) refuse(view *ticket.View, err error, wasUnconfirmed bool) (decision, error) {
	current, known := view.ModelVersion(p.version.Model)
	if known && p.version.Version <= current.Version && wasUnconfirmed {
		return decision{}, p.outcomeUnknown(errSuperseded)
	}
	if known && p.version.Version <= current.Version {
		return decision{}, verdict.Refuse(verdict.NotRun, verdict.ReasonFenced, 0, "%v", err)
	}
	return decision{}, verdict.Refuse(verdict.NotRun, verdict.ReasonBadRequest, 0, "%v", err)
}

func (p *versionProposal) outcomeUnknown(cause error) *verdict.Refusal {
	return verdict.Refuse(verdict.MayHaveRun, verdict.ReasonTicketUnsettled, retryLater,
		"version %d of model %s may have been published; publish it again: %v", p.version.Version, p.version.Model, cause)
}
