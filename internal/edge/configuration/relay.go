package configuration

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
)

// reportLifetime is how long a follower's report counts. Followers poll every second.
const reportLifetime = 5 * time.Second

const (
	// maxPollWait bounds how long a relay holds a request.
	maxPollWait = 10 * time.Second
	// waitAlignment is the time between the moments at which waits end. A follower that waits for a second polls again
	// right after the response. So only its first wait is shortened, by up to waitAlignment, and the later ones
	// end at these moments without it.
	waitAlignment = 250 * time.Millisecond
)

// HandleFollow responds at once if this host has a higher revision than the requesting one. Otherwise it responds
// when it gets one, when an outage of the platform is first established, or when the wait is over.
func (f *Follower) HandleFollow(ctx context.Context, request FollowRequest) (FollowResponse, error) {
	received := time.Now()
	f.reports.report(request.HostID, request.Ticket, received)
	timer := time.NewTimer(alignedWait(received, min(max(request.Wait, 0), maxPollWait)))
	defer timer.Stop()
	s := f.current.Load()
	if s.view.Revision() <= request.Revision {
		select {
		case <-s.changed:
		case <-s.outageStarted:
		case <-timer.C:
		case <-ctx.Done():
			return FollowResponse{}, context.Cause(ctx)
		}
	}
	return f.current.Load().followResponse(request, received, time.Now()), nil
}

// alignedWait shortens a wait so that it ends together with those of other followers. If the waits of 58 followers
// ended one by one, a relay would spend much of its processor time on waking up and going back to sleep.
func alignedWait(now time.Time, wait time.Duration) time.Duration {
	if remaining := now.Add(wait).Truncate(waitAlignment).Sub(now.Round(0)); remaining > 0 {
		return remaining
	}
	return wait
}

func (s *snapshot) followResponse(request FollowRequest, received, now time.Time) FollowResponse {
	response := FollowResponse{
		Revision:     s.view.Revision(),
		Held:         now.Sub(received),
		ConfirmedAge: age(now, s.freshness.Confirmed),
		OutageAge:    age(now, s.freshness.OutageSeen),
		Voter:        s.voter,
	}
	switch {
	case response.Revision <= request.Revision:
	case len(s.delta) > 0 && request.Revision == s.deltaFrom:
		response.Delta = s.delta
	default:
		response.Head = s.head
	}
	return response
}

func age(now, since time.Time) time.Duration {
	if since.IsZero() {
		return neverAge
	}
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)), 0)
}

// freshness converts the response's ages into times of this host's clock. The relay held the request for some time
// after it was sent, so the response was made at requestedAt+Held at the earliest. So the times are never later than
// the true ones, however long the response was in flight and even if this host was suspended in between.
func (r FollowResponse) freshness(requestedAt time.Time) ticket.Freshness {
	return ticket.Freshness{Confirmed: eventTime(requestedAt, r.Held, r.ConfirmedAge), OutageSeen: eventTime(requestedAt, r.Held, r.OutageAge)}
}

func eventTime(requestedAt time.Time, held, age time.Duration) time.Time {
	if age < 0 {
		return time.Time{}
	}
	return requestedAt.Add(held - age)
}

// HandleParts returns those of the requested parts that this host has.
func (f *Follower) HandleParts(_ context.Context, request PartsRequest) (PartsResponse, error) {
	s := f.current.Load()
	response := PartsResponse{Parts: map[string][]byte{}}
	for _, hash := range request.Hashes {
		if content, ok := s.parts[hash]; ok {
			response.Parts[hash] = content
		}
	}
	return response, nil
}

// HandleOffer applies a head that another host got accepted, so that a slow platform doesn't delay the withdrawal of
// a key.
func (f *Follower) HandleOffer(ctx context.Context, offer Offer) (OfferResponse, error) {
	err := f.submitHead(ctx, update{revision: offer.Revision, head: offer.Head, parts: offer.Parts}, f.platformParts)
	return OfferResponse{Revision: f.View().Revision()}, err
}

// HandleInForce returns the hosts that reported the ticket or a later one.
func (f *Follower) HandleInForce(_ context.Context, request InForceRequest) (InForceResponse, error) {
	now := time.Now()
	f.reportOwnTicket(now)
	return InForceResponse{HostIDs: f.reports.inForce(request.Ticket, now)}, nil
}

func (f *Follower) reportOwnTicket(now time.Time) {
	f.reports.report(f.self.HostID, f.View().LastTicket(), now)
}

// followerReports holds the last ticket that each follower of this host reported.
type followerReports struct {
	mutex  sync.Mutex
	byHost map[string]report
}

type report struct {
	ticket int
	at     time.Time
}

func newFollowerReports() *followerReports { return &followerReports{byHost: map[string]report{}} }

func (r *followerReports) report(hostID string, number int, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.byHost[hostID] = report{ticket: number, at: now}
}

// inForce returns the hosts that reported the ticket or a later one, sorted. It removes expired reports, which bounds
// the map.
func (r *followerReports) inForce(number int, now time.Time) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.prune(now)
	hostIDs := []string{}
	for hostID, last := range r.byHost {
		if last.ticket >= number {
			hostIDs = append(hostIDs, hostID)
		}
	}
	slices.SortFunc(hostIDs, cmp.Compare[string])
	return hostIDs
}

func (r *followerReports) count(now time.Time) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.prune(now)
	return len(r.byHost)
}

func (r *followerReports) prune(now time.Time) {
	for hostID, last := range r.byHost {
		if now.Sub(last.at) > reportLifetime {
			delete(r.byHost, hostID)
		}
	}
}
