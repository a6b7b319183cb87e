package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

// relayTimeout bounds how long an operator's request waits for relays that don't respond.
const relayTimeout = 500 * time.Millisecond

// Status is the state of a ticket.
type Status struct {
	Number     int  `json:"number"`
	Accepted   bool `json:"accepted"`
	LastTicket int  `json:"lastTicket"`
	// Hosts is the number of known hosts; InForce is how many of them are known to have the ticket.
	Hosts   int     `json:"hosts"`
	InForce int     `json:"inForce"`
	Share   float64 `json:"share"`
}

// Status reports whether the ticket was accepted and on how many hosts it is in force. If the platform can't be read,
// a ticket in this host's own view is still known to be accepted; otherwise the request is refused.
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

// inForce returns the number of known hosts and how many of them reported the ticket to a relay.
func (f *Follower) inForce(ctx context.Context, number int) (hosts, inForce int) {
	now := time.Now()
	f.reportOwnTicket(now)
	reported := map[string]bool{}
	for _, hostID := range f.reports.inForce(number, now) {
		reported[hostID] = true
	}
	if f.relayClient == nil {
		return 1, len(reported)
	}
	f.collectInForce(ctx, number, reported)
	known := f.directory.Hosts()
	if len(known) == 0 {
		return max(1, len(reported)), len(reported)
	}
	for _, host := range known {
		if reported[host.ID] {
			inForce++
		}
	}
	return len(known), inForce
}

func (f *Follower) collectInForce(ctx context.Context, number int, reported map[string]bool) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var mutex sync.Mutex
	var wg conc.WaitGroup
	for _, relay := range f.route().all {
		wg.Go(func() {
			response, err := f.relayClient.InForce(ctx, relay, InForceRequest{Ticket: number})
			if err != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			for _, hostID := range response.HostIDs {
				reported[hostID] = true
			}
		})
	}
	wg.Wait()
}

// shareHead passes a head that was found to be accepted to this host's follower and to all relays.
func (p *Publisher) shareHead(ctx context.Context, found storedConfiguration) {
	if p.follower != nil {
		p.follower.announceHead(ctx, Offer{Revision: uint64(found.version), Head: found.value})
	}
}

// shareWrittenHead does the same for a head that was just written.
func (p *Publisher) shareWrittenHead(ctx context.Context, revision uint64, value []byte, change ticket.Change) {
	if p.follower == nil {
		return
	}
	parts := make(map[string][]byte, len(change.Parts))
	for _, part := range change.Parts {
		parts[part.Hash] = part.Content
	}
	p.follower.announceHead(ctx, Offer{Revision: revision, Head: value, Parts: parts})
}

// announceHead applies an accepted head and offers it to all relays. It guards against a platform that responds
// slowly or fails right after the commit, when the relays' watches would return the withdrawal of a key late or not
// at all. Relays that miss the offer still get the head by their watches.
func (f *Follower) announceHead(ctx context.Context, offer Offer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), relayTimeout)
	defer cancel()
	if _, err := f.HandleOffer(ctx, offer); err != nil {
		f.recordResult(err)
	}
	var wg conc.WaitGroup
	for _, relay := range f.route().all {
		wg.Go(func() {
			_, err := f.relayClient.Offer(ctx, relay, offer)
			if err != nil {
				f.log.Debug().Stringer("relay", relay).Err(err).Msg("cannot offer the accepted head to the relay")
			}
		})
	}
	wg.Wait()
}
