package process

import (
	"cmp"
	"slices"
	"sync"

	"github.com/oleandershelf/oleandershelf/internal/edge/membership"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// contenders is how many hosts contend for a duty: enough that one is left when two fail together,
// and few, since each reads the lease object again and again.
const contenders = 3

// ranking remembers which entries come first by rendezvous hashing, for as long as the list of hosts is the same.
//
// Load pattern: an entry looks several times a second whether it should contend for each of some thirty duties, among
// 380 entries. Ranking them anew each time took most of an idle entry's processor time.
type ranking struct {
	choices membership.PerList[*choices]
}

// choices are those made from one list of entries.
type choices struct {
	entries []platform.Host
	mu      sync.Mutex
	known   map[rankingKey][]platform.Host
}

// rankingKey names one choice: the first count entries of a zone, or of all zones if zone is empty.
type rankingKey struct {
	purpose string
	zone    string
	count   int
}

// first returns the live entries that come first, the highest weight first; it is empty if none is known.
func (r *ranking) first(entries []platform.Host, key rankingKey) []platform.Host {
	return r.choices.Of(entries, newChoices).first(key)
}

func newChoices(entries []platform.Host) *choices {
	return &choices{entries: entries, known: map[rankingKey][]platform.Host{}}
}

func (c *choices) first(key rankingKey) []platform.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	chosen, ok := c.known[key]
	if !ok {
		chosen = rank(c.entries, key)
		c.known[key] = chosen
	}
	return chosen
}

func rank(entries []platform.Host, key rankingKey) []platform.Host {
	byID := map[string]platform.Host{}
	ids := []string{}
	for _, host := range entries {
		if host.State == platform.HostLive && (key.zone == "" || host.AvailabilityZone == key.zone) {
			byID[host.ID] = host
			ids = append(ids, host.ID)
		}
	}
	slices.SortFunc(ids, cmp.Compare[string])
	chosen := []platform.Host{}
	for _, id := range membership.First(key.purpose, ids, key.count) {
		chosen = append(chosen, byID[id])
	}
	return chosen
}

// isAmong says whether this host is among the first count entries for the purpose. A host that isn't on the lagging
// list yet isn't; with an empty list everybody is.
func (r *runtime) isAmong(key rankingKey) bool {
	chosen := r.ranking.first(r.members.Entries(), key)
	return len(chosen) == 0 || slices.ContainsFunc(chosen, func(host platform.Host) bool { return host.ID == r.set.HostID })
}

// isContender says whether this host is among the few that contend for a duty.
func (r *runtime) isContender(duty, zone string) bool {
	return r.isAmong(rankingKey{purpose: duty, zone: zone, count: contenders})
}
