package trainer

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/delivery"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// heldStore is a host's connection to the platform that holds one write of the job object, before the write reaches the
// platform or before its response returns.
type heldStore struct {
	platform.Store
	mu    sync.Mutex
	hold  bool
	after bool
	// unsent means that the held write is never sent, because its deadline has passed when it is released.
	unsent bool
	// arrived is closed when the write is held. Closing release lets it continue.
	arrived chan struct{}
	release chan struct{}
}

func newHeldStore(store platform.Store) *heldStore {
	return &heldStore{Store: store, arrived: make(chan struct{}), release: make(chan struct{})}
}

// holdNext holds the next write of the job object, after the write has taken effect if after is true, else before.
func (s *heldStore) holdNext(after bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold = true
	s.after = after
}

func (s *heldStore) Put(ctx context.Context, name string, value json.RawMessage, ifVersion platform.Version) (platform.Version, error) {
	s.mu.Lock()
	hold := s.hold && name == delivery.ObjectName(testJob)
	after := s.after
	if hold {
		s.hold = false
	}
	s.mu.Unlock()
	if !hold {
		return s.Store.Put(ctx, name, value, ifVersion)
	}
	if !after {
		close(s.arrived)
		<-s.release
		if s.unsent {
			return 0, errors.Wrap(platform.ErrUnavailable, name)
		}
		return s.Store.Put(context.WithoutCancel(ctx), name, value, ifVersion)
	}
	version, err := s.Store.Put(ctx, name, value, ifVersion)
	close(s.arrived)
	<-s.release
	return version, err
}
