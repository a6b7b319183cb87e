package configuration

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/ticket"
)

// ErrReverted is returned for a head with a newer version but an older ticket than the view. This happens if someone
// restores the head object by hand. The view must not go back, since withdrawn keys would become valid again.
var ErrReverted = errors.New("head went back to an older ticket")

// snapshot is the follower's state at one moment. It is immutable once published.
type snapshot struct {
	view *ticket.View
	// head is the value of the head object as it was read.
	head []byte
	// delta is the change from the head of revision deltaFrom to this one; empty if there was no earlier revision.
	delta     []byte
	deltaFrom uint64
	// parts holds the content of the parts that the head references, by hash.
	parts     map[string][]byte
	freshness ticket.Freshness
	synced    bool
	// voter reports whether this host counts when an outage is established. A host that has just started doesn't
	// know which ticket it had, and becomes a voter by reading the platform or by querying voters that are more than
	// half of the relays. So if half of the relays had a ticket when an outage began, any majority that establishes
	// the outage includes one that has it, whichever of them restart.
	voter bool
	// changed is closed when a snapshot with another view is published.
	changed chan struct{}
	// outageStarted is closed when an outage is established and none was before.
	outageStarted chan struct{}
}

func newSnapshot() *snapshot {
	return &snapshot{view: ticket.EmptyView(), changed: make(chan struct{}), outageStarted: make(chan struct{})}
}

// update is what the follower learned from the platform or a peer.
type update struct {
	revision uint64
	// head is nil if the revision is not above the requested one.
	head []byte
	// parts holds the parts that this host didn't have yet.
	parts     map[string][]byte
	freshness ticket.Freshness
	// voter makes the host a voter.
	voter bool
	done  chan error
}

// withUpdate returns the snapshot after the update. The freshness applies whatever the update's revision is: it says
// that everything accepted before a certain time is in a revision that is not above the one of the new snapshot.
func (s *snapshot) withUpdate(u update, now time.Time) (*snapshot, error) {
	next := *s
	if u.revision > s.view.Revision() {
		if err := next.advance(u); err != nil {
			return s, err
		}
	}
	next.freshness = s.freshness.Merge(u.freshness)
	next.voter = s.voter || u.voter
	next.synced = s.synced || next.freshness.Fresh(now)
	return &next, nil
}

// advance switches to the update's higher revision.
func (s *snapshot) advance(u update) error {
	head, err := ticket.DecodeHead(u.head)
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
		if content, ok := u.parts[hash]; ok {
			parts[hash] = content
		}
	}
	view, err := ticket.NewView(u.revision, head, parts)
	if err != nil {
		return err
	}
	if err := s.setDelta(view); err != nil {
		return err
	}
	s.view, s.head, s.parts = view, u.head, parts
	return nil
}

func (s *snapshot) setDelta(next *ticket.View) error {
	s.delta, s.deltaFrom = nil, s.view.Revision()
	if s.deltaFrom == 0 {
		return nil
	}
	delta, err := json.Marshal(s.view.Head().DeltaTo(next.Head()))
	s.delta = delta
	return errors.Wrap(err, "delta")
}

// resolveHead returns the head that a response holds, or the head that results from its delta to this snapshot.
func (s *snapshot) resolveHead(response FollowResponse) ([]byte, error) {
	if len(response.Delta) == 0 {
		return response.Head, nil
	}
	var delta ticket.Delta
	if err := json.Unmarshal(response.Delta, &delta); err != nil {
		return nil, errors.Wrap(err, "delta")
	}
	return s.view.Head().Patch(delta).Encode()
}

// missingParts returns the hashes of the head's parts that this host doesn't have.
func (s *snapshot) missingParts(head ticket.Head) []string {
	var hashes []string
	for _, hash := range head.Parts {
		if _, ok := s.parts[hash]; !ok {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}

// applyUpdates runs until ctx is cancelled. It is the only goroutine that publishes snapshots.
func (f *Follower) applyUpdates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-f.updates:
			u.done <- f.publish(u)
		}
	}
}

func (f *Follower) publish(u update) error {
	last := f.current.Load()
	now := time.Now()
	next, err := last.withUpdate(u, now)
	if err != nil {
		return err
	}
	viewChanged := next.view != last.view
	outageBegan := !last.freshness.InOutage(now) && next.freshness.InOutage(now)
	if viewChanged {
		next.changed = make(chan struct{})
	}
	if outageBegan {
		next.outageStarted = make(chan struct{})
	}
	f.current.Store(next)
	if viewChanged {
		close(last.changed)
		f.log.Info().Uint64("revision", next.view.Revision()).Int("ticket", next.view.LastTicket()).Msg("configuration in force")
	}
	if outageBegan {
		close(last.outageStarted)
		f.log.Warn().Int("ticket", next.view.LastTicket()).Msg("platform outage established")
	}
	return nil
}

// submit passes an update to applyUpdates and waits for the result.
func (f *Follower) submit(ctx context.Context, u update) error {
	u.done = make(chan error, 1)
	select {
	case f.updates <- u:
		return <-u.done
	case <-ctx.Done():
		return ctx.Err()
	}
}
