package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// keptLists is how many lists back a relay knows the changes. A follower asks again within seconds, and
// the list changes about once a minute at the size to design for.
const keptLists = 4

// errDiffers is returned if changes lead to another list than the relay's.
var errDiffers = errors.New("changes do not lead to the relay's list")

// snapshot is one list; it never changes.
type snapshot struct {
	hosts   []platform.Host
	entries []platform.Host
	servers map[string][]platform.Host
	// digest names the content of hosts; 0 where no list is held.
	digest uint64
	// read is the moment before the list was asked for, by this host or by the one it came from.
	read time.Time
	// failures counts the failed reads since.
	failures int
	// handedOn lists come from a peer and not from the platform.
	handedOn bool
	// changed is closed when a list that was read later is published.
	changed chan struct{}
	// earlier holds the lists before this one, the newest first, by digest.
	earlier []version
}

// version is a list that was held before.
type version struct {
	digest uint64
	hosts  []platform.Host
}

func newSnapshot(hosts []platform.Host, read time.Time) *snapshot {
	s := &snapshot{
		hosts: slices.Clone(hosts), servers: map[string][]platform.Host{}, read: read, changed: make(chan struct{}),
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

// digestOf names a sorted list by its content, so that lists of different relays can be told apart or
// found to be the same without a count that both would have to agree on.
func digestOf(hosts []platform.Host) uint64 {
	sum := xxhash.New()
	for _, h := range hosts {
		for _, text := range []string{h.ID, string(h.Role), h.Pool, h.AvailabilityZone, h.PeerAddress.String(), string(h.State)} {
			_, _ = sum.WriteString(text) // never fails
			_, _ = sum.WriteString("\x00")
		}
	}
	return max(sum.Sum64(), 1)
}

// after returns the list that follows s. A list of the same content shares its rows, so that reading it
// again and again takes no memory.
func (s *snapshot) after(next *snapshot) *snapshot {
	if next.digest == s.digest {
		next.hosts, next.entries, next.servers, next.earlier = s.hosts, s.entries, s.servers, s.earlier
		return next
	}
	if s.digest == 0 {
		return next
	}
	next.earlier = append([]version{{digest: s.digest, hosts: s.hosts}}, s.earlier...)
	next.earlier = next.earlier[:min(len(next.earlier), keptLists)]
	return next
}

// find returns the rows of a list held now or before.
func (s *snapshot) find(digest uint64) ([]platform.Host, bool) {
	if digest == s.digest {
		return s.hosts, true
	}
	for _, earlier := range s.earlier {
		if earlier.digest == digest {
			return earlier.hosts, true
		}
	}
	return nil, false
}

// answer returns the changes since the asked list, or the whole list where that isn't known any more.
func (s *snapshot) answer(digest uint64, held time.Duration, now time.Time) ChangesAnswer {
	a := ChangesAnswer{Digest: s.digest, Age: age(now, s.read), Held: held}
	base, known := s.find(digest)
	if known {
		a.Base = digest
	}
	if a.Base == s.digest {
		return a
	}
	a.Changed, a.Gone = difference(base, s.hosts)
	return a
}

func age(now, read time.Time) time.Duration {
	if read.IsZero() {
		return noAge
	}
	return max(now.Sub(read), now.Round(0).Sub(read.Round(0)), 0)
}

// difference compares two sorted lists.
func difference(from, to []platform.Host) (changed []row, gone []string) {
	for _, host := range to {
		at, found := slices.BinarySearchFunc(from, host, byID)
		if !found || from[at] != host {
			changed = append(changed, rowOf(host))
		}
	}
	for _, host := range from {
		if _, found := slices.BinarySearchFunc(to, host, byID); !found {
			gone = append(gone, host.ID)
		}
	}
	return changed, gone
}

// apply returns the list to which the changes lead.
func (s *snapshot) apply(a ChangesAnswer, read time.Time) (*snapshot, error) {
	if a.Digest == s.digest {
		next := *s
		next.read, next.changed, next.failures, next.handedOn = read, make(chan struct{}), 0, true
		return &next, nil
	}
	if a.Base != 0 && a.Base != s.digest {
		return nil, errors.Wrap(errDiffers, "another base")
	}
	rows := map[string]platform.Host{}
	if a.Base != 0 {
		for _, host := range s.hosts {
			rows[host.ID] = host
		}
	}
	for _, id := range a.Gone {
		delete(rows, id)
	}
	for _, changed := range a.Changed {
		rows[changed.ID] = changed.host()
	}
	hosts := make([]platform.Host, 0, len(rows))
	for _, host := range rows {
		hosts = append(hosts, host)
	}
	next := newSnapshot(hosts, read)
	next.handedOn = true
	if next.digest != a.Digest {
		return nil, errors.WithStack(errDiffers)
	}
	return s.after(next), nil
}
