package configuration

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
)

// reportFor is how long a follower's report counts; followers ask every second.
const reportFor = 5 * time.Second

const (
	// maxWait bounds how long a relay keeps a question.
	maxWait = 10 * time.Second
	// answerStep is the time between the moments at which waits end. A question that waits for a second comes again right
	// after its answer, so that its waits are shortened by up to that much once, and then end at the same moments.
	answerStep = 250 * time.Millisecond
)

// HandleFollow answers at once if this host knows a higher revision, and otherwise when it learns one,
// when an outage of the platform is first established, or when the wait is over.
func (f *Follower) HandleFollow(ctx context.Context, ask FollowAsk) (FollowAnswer, error) {
	came := time.Now()
	f.roster.report(ask.HostID, ask.Ticket, came)
	timer := time.NewTimer(sharedWait(came, min(max(ask.Wait, 0), maxWait)))
	defer timer.Stop()
	s := f.current.Load()
	if s.view.Revision() <= ask.Revision {
		select {
		case <-s.changed:
		case <-s.alarmed:
		case <-timer.C:
		case <-ctx.Done():
			return FollowAnswer{}, context.Cause(ctx)
		}
	}
	return f.current.Load().answer(ask, came, time.Now()), nil
}

// sharedWait shortens a wait so that it ends together with those of other followers: with 58 of them whose waits end one by
// one, a relay spends much of its processor time on waking up and going to sleep again.
func sharedWait(now time.Time, wait time.Duration) time.Duration {
	if left := now.Add(wait).Truncate(answerStep).Sub(now.Round(0)); left > 0 {
		return left
	}
	return wait
}

func (s *snapshot) answer(ask FollowAsk, came, now time.Time) FollowAnswer {
	answer := FollowAnswer{
		Revision:  s.view.Revision(),
		Held:      now.Sub(came),
		Age:       age(now, s.freshness.Confirmed),
		OutageAge: age(now, s.freshness.OutageSeen),
		Voter:     s.voter,
	}
	switch {
	case answer.Revision <= ask.Revision:
	case len(s.delta) > 0 && ask.Revision == s.deltaFrom:
		answer.Delta = s.delta
	default:
		answer.Head = s.head
	}
	return answer
}

func age(now, since time.Time) time.Duration {
	if since.IsZero() {
		return noAge
	}
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)), 0)
}

// freshness turns the answer's ages into moments of this host's clock. The relay held the question for
// some time after it was asked, so its answer was made at asked+Held at the earliest: the moments are
// never too late, however long the answer was under way and even if this host was paused meanwhile.
func (a FollowAnswer) freshness(asked time.Time) ticket.Freshness {
	return ticket.Freshness{Confirmed: moment(asked, a.Held, a.Age), OutageSeen: moment(asked, a.Held, a.OutageAge)}
}

func moment(asked time.Time, held, age time.Duration) time.Time {
	if age < 0 {
		return time.Time{}
	}
	return asked.Add(held - age)
}

// HandleParts returns the parts at hand.
func (f *Follower) HandleParts(_ context.Context, ask PartsAsk) (PartsAnswer, error) {
	s := f.current.Load()
	answer := PartsAnswer{Parts: map[string][]byte{}}
	for _, hash := range ask.Hashes {
		if content, ok := s.parts[hash]; ok {
			answer.Parts[hash] = content
		}
	}
	return answer, nil
}

// HandleOffer takes in a head that another host got accepted, so that a slow platform doesn't delay
// the spread of a withdrawn key.
func (f *Follower) HandleOffer(ctx context.Context, offer Offer) (OfferAnswer, error) {
	err := f.takeHead(ctx, arrival{revision: offer.Revision, head: offer.Head, parts: offer.Parts}, f.platformParts)
	return OfferAnswer{Revision: f.View().Revision()}, err
}

// HandleInForce names the hosts that reported the ticket or a later one.
func (f *Follower) HandleInForce(_ context.Context, ask InForceAsk) (InForceAnswer, error) {
	now := time.Now()
	f.reportSelf(now)
	return InForceAnswer{HostIDs: f.roster.inForce(ask.Ticket, now)}, nil
}

func (f *Follower) reportSelf(now time.Time) {
	f.roster.report(f.self.HostID, f.View().LastTicket(), now)
}

// roster is which ticket each follower of this host last reported.
type roster struct {
	mutex   sync.Mutex
	reports map[string]report
}

type report struct {
	ticket int
	at     time.Time
}

func newRoster() *roster { return &roster{reports: map[string]report{}} }

func (r *roster) report(hostID string, number int, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.reports[hostID] = report{ticket: number, at: now}
}

// inForce also drops reports that no longer count, which bounds the table.
func (r *roster) inForce(number int, now time.Time) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.prune(now)
	hostIDs := []string{}
	for hostID, last := range r.reports {
		if last.ticket >= number {
			hostIDs = append(hostIDs, hostID)
		}
	}
	slices.SortFunc(hostIDs, cmp.Compare[string])
	return hostIDs
}

func (r *roster) count(now time.Time) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.prune(now)
	return len(r.reports)
}

func (r *roster) prune(now time.Time) {
	for hostID, last := range r.reports {
		if now.Sub(last.at) > reportFor {
			delete(r.reports, hostID)
		}
	}
}
