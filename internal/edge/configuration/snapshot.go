package configuration

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
)

// ErrReverted is returned for a head that has a newer version but an older ticket than the view.
// Someone restored the object by hand; a view must not go back, since withdrawn keys would be valid again.
var ErrReverted = errors.New("head went back to an older ticket")

// snapshot is what the follower knows at one moment; it never changes.
type snapshot struct {
	view *ticket.View
	// head is the value of the head object as it was read.
	head []byte
	// delta leads from the head of revision deltaFrom to this one; empty if there was none before.
	delta     []byte
	deltaFrom uint64
	// parts holds the content of the parts that the head names, by hash.
	parts     map[string][]byte
	freshness ticket.Freshness
	synced    bool
	// voter says that this host counts as a witness of an outage. A host that just started has forgotten
	// which ticket it knew, and becomes one by reading the platform or by asking more than half of the
	// relays, of those that are voters. So a ticket that half of the relays knew when an outage began is
	// known to one of any more than half that establish it, whichever of them restart.
	voter bool
	// changed is closed when a snapshot with another view is published.
	changed chan struct{}
	// alarmed is closed when an outage is first established after normal running.
	alarmed chan struct{}
}

func newSnapshot() *snapshot {
	return &snapshot{view: ticket.EmptyView(), changed: make(chan struct{}), alarmed: make(chan struct{})}
}

// arrival is something learnt from the platform or a peer.
type arrival struct {
	revision uint64
	// head is nil where the revision is not above the one asked with.
	head []byte
	// parts holds the content that was not at hand yet.
	parts     map[string][]byte
	freshness ticket.Freshness
	// voter makes the host a voter.
	voter bool
	done  chan error
}

// take returns the snapshot after the arrival. Freshness counts for a view of any revision: it says
// that everything accepted before some moment is in a revision that is not above this one's.
func (s *snapshot) take(a arrival, now time.Time) (*snapshot, error) {
	next := *s
	if a.revision > s.view.Revision() {
		if err := next.move(a); err != nil {
			return s, err
		}
	}
	next.freshness = s.freshness.Merge(a.freshness)
	next.voter = s.voter || a.voter
	next.synced = s.synced || next.freshness.Fresh(now)
	return &next, nil
}

// move takes the higher revision.
func (s *snapshot) move(a arrival) error {
	head, err := ticket.DecodeHead(a.head)
	if err != nil {
		return err
	}
	if head.LastTicket < s.view.LastTicket() {
		return errors.Wrapf(ErrReverted, "ticket %d after %d", head.LastTicket, s.view.LastTicket())
	}
	parts := make(map[string][]byte, len(head.Parts))
	for _, hash := range head.Parts {
		if content, ok := s.parts[hash]; ok {
			parts[hash] = content
		}
		if content, ok := a.parts[hash]; ok {
			parts[hash] = content
		}
	}
	view, err := ticket.NewView(a.revision, head, parts)
	if err != nil {
		return err
	}
	if err := s.keepDelta(view); err != nil {
		return err
	}
	s.view, s.head, s.parts = view, a.head, parts
	return nil
}

func (s *snapshot) keepDelta(next *ticket.View) error {
	s.delta, s.deltaFrom = nil, s.view.Revision()
	if s.deltaFrom == 0 {
		return nil
	}
	delta, err := json.Marshal(s.view.Head().DeltaTo(next.Head()))
	s.delta = delta
	return errors.Wrap(err, "delta")
}

// headOf returns the head that an answer to this snapshot's question carries or leads to.
func (s *snapshot) headOf(answer FollowAnswer) ([]byte, error) {
	if len(answer.Delta) == 0 {
		return answer.Head, nil
	}
	var delta ticket.Delta
	if err := json.Unmarshal(answer.Delta, &delta); err != nil {
		return nil, errors.Wrap(err, "delta")
	}
	return s.view.Head().Patch(delta).Encode()
}

// missing returns the hashes of the head's parts that are not at hand.
func (s *snapshot) missing(head ticket.Head) []string {
	var hashes []string
	for _, hash := range head.Parts {
		if _, ok := s.parts[hash]; !ok {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}

// control owns the snapshot: it alone publishes a new one.
func (f *Follower) control(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-f.arrivals:
			a.done <- f.publish(a)
		}
	}
}

func (f *Follower) publish(a arrival) error {
	last := f.current.Load()
	now := time.Now()
	next, err := last.take(a, now)
	if err != nil {
		return err
	}
	moved := next.view != last.view
	alarm := !last.freshness.InOutage(now) && next.freshness.InOutage(now)
	if moved {
		next.changed = make(chan struct{})
	}
	if alarm {
		next.alarmed = make(chan struct{})
	}
	f.current.Store(next)
	if moved {
		close(last.changed)
		f.log.Info().Uint64("revision", next.view.Revision()).Int("ticket", next.view.LastTicket()).Msg("configuration in force")
	}
	if alarm {
		close(last.alarmed)
		f.log.Warn().Int("ticket", next.view.LastTicket()).Msg("outage of the platform established")
	}
	return nil
}

// deliver hands an arrival to the control goroutine and waits until it was taken in.
func (f *Follower) deliver(ctx context.Context, a arrival) error {
	a.done = make(chan error, 1)
	select {
	case f.arrivals <- a:
		return <-a.done
	case <-ctx.Done():
		return ctx.Err()
	}
}
