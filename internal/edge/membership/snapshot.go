package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// maxPreviousLists is the number of previous lists for which a relay can compute changes. In the largest supported deployment,
// the list changes about once a minute, and a follower sends its next request within seconds.
const maxPreviousLists = 4

// errListMismatch is returned if the changes that a relay sent don't produce the relay's list.
var errListMismatch = errors.New("changes do not produce the relay's list")

// snapshot is the state of the list at one read. It never changes.
type snapshot struct {
	hosts   []platform.Host
	entries []platform.Host
	servers map[string][]platform.Host
	// digest is a hash of hosts; 0 if no list is held.
	digest uint64
	// readAt is the time just before the list was requested from the platform, by this host or by the one that passed it on.
	readAt time.Time
	// failures counts the reads of the platform that have failed since the list was received.
	failures int
	// fromPeer reports that the list comes from a peer and not from the platform.
	fromPeer bool
	// replaced is closed when the next list is published.
	replaced chan struct{}
	// previous holds the lists before this one, the newest first.
	previous []previousList
}

// previousList is a list that was held before.
type previousList struct {
	digest uint64
	hosts  []platform.Host
}

func newSnapshot(hosts []platform.Host, readAt time.Time) *snapshot {
	s := &snapshot{
		hosts: slices.Clone(hosts), servers: map[string][]platform.Host{}, readAt: readAt, replaced: make(chan struct{}),
	}
	slices.SortFunc(s.hosts, byID)
	s.digest = digestOf(s.hosts)
	for _, host := range s.hosts {
		switch host.Role {
		case platform.RoleEntry:
			s.entries = append(s.entries, host)
		case platform.RoleAgent:
			s.servers[host.Pool] = append(s.servers[host.Pool], host)
		}
	}
	return s
}

func byID(a, b platform.Host) int { return cmp.Compare(a.ID, b.ID) }

// digestOf returns a hash of a sorted list, never 0. It lets hosts compare the lists of different relays, which
// a version number would allow only if all relays agreed on it.
func digestOf(hosts []platform.Host) uint64 {
	hash := xxhash.New()
	for _, h := range hosts {
		for _, text := range []string{h.ID, string(h.Role), h.Pool, h.AvailabilityZone, h.PeerAddress.String(), string(h.State)} {
			_, _ = hash.WriteString(text) // never fails
			_, _ = hash.WriteString("\x00")
		}
	}
	return max(hash.Sum64(), 1)
}

// successor prepares next to replace s, and returns it. If the content is the same, next shares the slices of s, so that
// repeated reads of an unchanged list retain no more memory.
func (s *snapshot) successor(next *snapshot) *snapshot {
	if next.digest == s.digest {
		next.hosts, next.entries, next.servers, next.previous = s.hosts, s.entries, s.servers, s.previous
		return next
	}
	if s.digest == 0 {
		return next
	}
	next.previous = append([]previousList{{digest: s.digest, hosts: s.hosts}}, s.previous...)
	next.previous = next.previous[:min(len(next.previous), maxPreviousLists)]
	return next
}

// hostsByDigest returns the hosts of the current or a previous list.
func (s *snapshot) hostsByDigest(digest uint64) ([]platform.Host, bool) {
	if digest == s.digest {
		return s.hosts, true
	}
	for _, previous := range s.previous {
		if previous.digest == digest {
			return previous.hosts, true
		}
	}
	return nil, false
}

// changesSince returns the changes since the list with the digest, or the full list if that one is no longer known.
func (s *snapshot) changesSince(digest uint64, heldFor time.Duration, now time.Time) ChangesAnswer {
	a := ChangesAnswer{Digest: s.digest, Age: age(now, s.readAt), HeldFor: heldFor}
	base, known := s.hostsByDigest(digest)
	if known {
		a.BaseDigest = digest
	}
	if a.BaseDigest == s.digest {
		return a
	}
	a.Changed, a.Removed = difference(base, s.hosts)
	return a
}

// age returns the time since readAt, or neverRead if readAt is zero. It is the longer one of the times by the monotonic clock
// and by the wall clock.
func age(now, readAt time.Time) time.Duration {
	if readAt.IsZero() {
		return neverRead
	}
	return max(now.Sub(readAt), now.Round(0).Sub(readAt.Round(0)), 0)
}

// difference returns the changes between two sorted lists.
func difference(from, to []platform.Host) (changed []row, removed []string) {
	for _, host := range to {
		at, found := slices.BinarySearchFunc(from, host, byID)
		if !found || from[at] != host {
			changed = append(changed, newRow(host))
		}
	}
	for _, host := range from {
		if _, found := slices.BinarySearchFunc(to, host, byID); !found {
			removed = append(removed, host.ID)
		}
	}
	return changed, removed
}

// apply returns the list that results from the changes. It returns errListMismatch if they apply to another list or if the
// result doesn't have the answer's digest.
func (s *snapshot) apply(a ChangesAnswer, readAt time.Time) (*snapshot, error) {
	if a.Digest == s.digest {
		next := *s
		next.readAt, next.replaced, next.failures, next.fromPeer = readAt, make(chan struct{}), 0, true
		return &next, nil
	}
	if a.BaseDigest != 0 && a.BaseDigest != s.digest {
		return nil, errors.Wrap(errListMismatch, "changes apply to a list that is not held")
	}
	byHostID := map[string]platform.Host{}
	if a.BaseDigest != 0 {
		for _, host := range s.hosts {
			byHostID[host.ID] = host
		}
	}
	for _, id := range a.Removed {
		delete(byHostID, id)
	}
	for _, changed := range a.Changed {
		byHostID[changed.ID] = changed.host()
	}
	hosts := make([]platform.Host, 0, len(byHostID))
	for _, host := range byHostID {
		hosts = append(hosts, host)
	}
	next := newSnapshot(hosts, readAt)
	next.fromPeer = true
	if next.digest != a.Digest {
		return nil, errors.WithStack(errListMismatch)
	}
	return s.successor(next), nil
}
