package process

import (
	"cmp"
	"slices"
	"sync"

	"github.com/oleandershelf/oleandershelf/internal/edge/membership"
	"github.com/oleandershelf/oleandershelf/internal/edge/platform"
)

// contenders is the number of hosts that contend for a duty: enough that one remains when two fail together, and few,
// because each reads the lease object repeatedly.
const contenders = 3

// ranking caches which entries come first by rendezvous hashing, for as long as the list of entries stays the same.
//
// An entry checks several times a second whether it should contend for each of about thirty duties, among 380 entries.
// Ranking the entries for each check took most of an idle entry's processor time.
type ranking struct {
	cache membership.ListCache[*rankingCache]
}

// rankingCache holds the rankings of one list of entries.
type rankingCache struct {
	entries []platform.Host
	mu      sync.Mutex
	byKey   map[rankingKey][]platform.Host
}

// rankingKey identifies a ranking: the first count entries of a zone, or of all zones if zone is empty.
type rankingKey struct {
	purpose string
	zone    string
	count   int
}

// first returns the first live entries of the ranking, those with the highest weight first. It returns none if no live
// entry is known.
func (r *ranking) first(entries []platform.Host, key rankingKey) []platform.Host {
	return r.cache.GetOrCompute(entries, newRankingCache).first(key)
}

func newRankingCache(entries []platform.Host) *rankingCache {
	return &rankingCache{entries: entries, byKey: map[rankingKey][]platform.Host{}}
}

func (c *rankingCache) first(key rankingKey) []platform.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	chosen, ok := c.byKey[key]
	if !ok {
		chosen = rank(c.entries, key)
		c.byKey[key] = chosen
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
	for _, id := range membership.TopRanked(key.purpose, ids, key.count) {
		chosen = append(chosen, byID[id])
	}
	return chosen
}

// isAmongFirst reports whether this host is among the first count entries for the purpose. The list of entries may lag: a
// host that isn't on it yet isn't among them. If the ranking is empty, every host is.
func (r *runtime) isAmongFirst(key rankingKey) bool {
	chosen := r.ranking.first(r.members.Entries(), key)
	return len(chosen) == 0 || slices.ContainsFunc(chosen, func(host platform.Host) bool { return host.ID == r.set.HostID })
}

// isContender reports whether this host is among the few that contend for a duty.
func (r *runtime) isContender(duty, zone string) bool {
	return r.isAmongFirst(rankingKey{purpose: duty, zone: zone, count: contenders})
}
