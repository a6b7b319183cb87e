package routing

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"strings"
)

// Table is one version of the configuration. It is immutable and therefore safe for concurrent use.
type Table struct {
	// Version increases with each configuration, not necessarily by one.
	Version uint64
	Limits  Limits
	// routes holds the routes of each host name, those with the longest prefix first.
	routes map[string][]Route
	pools  map[string]Pool
	// keys maps the SHA-256 hash of each key to its owner.
	keys map[[sha256.Size]byte]keyOwner
	// hasOrganisations is set if the configuration names organisations; otherwise no request needs a key.
	hasOrganisations bool
}

// keyOwner is a key with the organisation that it belongs to.
type keyOwner struct {
	key          []byte
	organisation Organisation
}

// OrganisationKeys is an organisation with the keys of its callers.
type OrganisationKeys struct {
	Organisation Organisation
	Keys         []string
}

// NewTable returns the table of one configuration version.
func NewTable(version uint64, limits Limits, routes []Route, pools []Pool, organisations []OrganisationKeys) *Table {
	t := &Table{
		Version:          version,
		Limits:           limits,
		routes:           map[string][]Route{},
		pools:            map[string]Pool{},
		keys:             map[[sha256.Size]byte]keyOwner{},
		hasOrganisations: len(organisations) > 0,
	}
	for _, route := range routes {
		t.routes[route.Host] = append(t.routes[route.Host], route)
	}
	for _, hostRoutes := range t.routes {
		slices.SortFunc(hostRoutes, longestPrefixFirst)
	}
	for _, pool := range pools {
		t.pools[pool.Name] = pool
	}
	for _, owner := range organisations {
		for _, key := range owner.Keys {
			t.keys[sha256.Sum256([]byte(key))] = keyOwner{key: []byte(key), organisation: owner.Organisation}
		}
	}
	return t
}

func longestPrefixFirst(a, b Route) int {
	return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Prefix, b.Prefix), cmp.Compare(a.Name, b.Name))
}

// Match returns the host's route with the longest prefix of the path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, route := range t.routes[CanonicalHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// HasBatchRoute reports whether the host has a route that accepts batch jobs for the pool.
func (t *Table) HasBatchRoute(host, pool string) bool {
	return slices.ContainsFunc(t.routes[CanonicalHost(host)], func(route Route) bool {
		return route.Kind == KindBatch && slices.ContainsFunc(route.Targets, func(target Target) bool { return target.Pool == pool })
	})
}

// CanonicalHost returns the host name in lower case and without a port, as Match compares it.
func CanonicalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Pool returns the pool with the given name.
func (t *Table) Pool(name string) (Pool, bool) {
	pool, ok := t.pools[name]
	return pool, ok
}

// Pools returns all pools, sorted by name.
func (t *Table) Pools() []Pool {
	pools := make([]Pool, 0, len(t.pools))
	for _, pool := range t.pools {
		pools = append(pools, pool)
	}
	slices.SortFunc(pools, func(a, b Pool) int { return cmp.Compare(a.Name, b.Name) })
	return pools
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	count := 0
	for _, routes := range t.routes {
		count += len(routes)
	}
	return count
}

// Organisation returns the organisation that a key belongs to. Keys are looked up by hash and compared in constant
// time, so that the time until a refusal reveals nothing about the valid keys.
func (t *Table) Organisation(key string) (Organisation, bool) {
	owner, ok := t.keys[sha256.Sum256([]byte(key))]
	if !ok || subtle.ConstantTimeCompare(owner.key, []byte(key)) != 1 {
		return Organisation{}, false
	}
	return owner.organisation, true
}

// NeedsKey reports whether requests of the route need the key of an organisation.
func (t *Table) NeedsKey(route Route) bool { return t.hasOrganisations && !route.Public }
