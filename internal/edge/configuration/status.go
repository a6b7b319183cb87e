package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// spreadTimeout bounds what a relay that doesn't answer costs an operator.
const spreadTimeout = 500 * time.Millisecond

// Status says what became of a ticket.
type Status struct {
	Number     int  `json:"number"`
	Accepted   bool `json:"accepted"`
	LastTicket int  `json:"lastTicket"`
	// Hosts is how many hosts are known; InForce is how many of them are known to have the ticket.
	Hosts   int     `json:"hosts"`
	InForce int     `json:"inForce"`
	Share   float64 `json:"share"`
}

// Status says whether the ticket was accepted and on how many hosts it is in force. Where the platform
// can't be read, a ticket in this host's own view is known to be accepted; otherwise the status is refused.
func (p *Publisher) Status(ctx context.Context, number int) (Status, error) {
	last, err := p.lastTicket(ctx)
	if p.follower != nil {
		last = max(last, p.follower.View().LastTicket())
	}
	if err != nil && (number > last || p.follower == nil) {
		return Status{}, verdict.Refuse(verdict.NotRun, verdict.ReasonPlatformUnavailable,
			retryLater, "ticket %d: %v", number, err)
	}
	status := Status{Number: number, LastTicket: last, Accepted: number >= 1 && number <= last}
	if p.follower != nil {
		status.Hosts, status.InForce = p.follower.inForce(ctx, number)
	}
	if status.Accepted && status.Hosts > 0 {
		status.Share = float64(status.InForce) / float64(status.Hosts)
	}
	return status, nil
}

func (p *Publisher) lastTicket(ctx context.Context) (int, error) {
	found, err := p.read(ctx)
	if err != nil {
		return 0, err
	}
	return found.view.LastTicket(), nil
}

// inForce counts the known hosts and those that reported the ticket to a relay.
func (f *Follower) inForce(ctx context.Context, number int) (hosts, inForce int) {
	now := time.Now()
	f.reportSelf(now)
	having := map[string]bool{}
	for _, hostID := range f.roster.inForce(number, now) {
		having[hostID] = true
	}
	if f.exchange == nil {
		return 1, len(having)
	}
	f.gather(ctx, number, having)
	known := f.directory.Hosts()
	if len(known) == 0 {
		return max(1, len(having)), len(having)
	}
	for _, host := range known {
		if having[host.ID] {
			inForce++
		}
	}
	return len(known), inForce
}

func (f *Follower) gather(ctx context.Context, number int, having map[string]bool) {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	var mutex sync.Mutex
	var wg conc.WaitGroup
	for _, relay := range f.route().all {
		wg.Go(func() {
			answer, err := f.exchange.InForce(ctx, relay, InForceAsk{Ticket: number})
			if err != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			for _, hostID := range answer.HostIDs {
				having[hostID] = true
			}
		})
	}
	wg.Wait()
}

// spread hands a head that was found accepted to the own follower and to all relays.
func (p *Publisher) spread(ctx context.Context, found reading) {
	if p.follower != nil {
		p.follower.announce(ctx, Offer{Revision: uint64(found.version), Head: found.value})
	}
}

// spreadChange does the same for a head that was just written.
func (p *Publisher) spreadChange(ctx context.Context, revision uint64, value []byte, change ticket.Change) {
	if p.follower == nil {
		return
	}
	parts := make(map[string][]byte, len(change.Parts))
	for _, part := range change.Parts {
		parts[part.Hash] = part.Content
	}
	p.follower.announce(ctx, Offer{Revision: revision, Head: value, Parts: parts})
}

// announce takes in an accepted head and tells all relays of it. It guards against a platform that
// answers slowly or fails right after the commit: the relays' watches would learn of a withdrawn key
// late or not at all. What is lost here still comes by the watches.
func (f *Follower) announce(ctx context.Context, offer Offer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), spreadTimeout)
	defer cancel()
	if _, err := f.HandleOffer(ctx, offer); err != nil {
		f.note(err)
	}
	var wg conc.WaitGroup
	for _, relay := range f.route().all {
		wg.Go(func() {
			_, err := f.exchange.Offer(ctx, relay, offer)
			if err != nil {
				f.log.Debug().Stringer("relay", relay).Err(err).Msg("relay not told of ticket")
			}
		})
	}
	wg.Wait()
}
