package routing

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"strings"
)

// Table is one version of the configuration. It never changes, so that goroutines may share it.
type Table struct {
	// Version orders configurations; it grows unevenly.
	Version uint64
	Limits  Limits
	routes  map[string][]Route
	pools   map[string]Pool
	keys    map[[sha256.Size]byte]keyOwner
	// tenanted is set if the configuration names organisations; without any, no request needs a key.
	tenanted bool
}

// keyOwner is the organisation of a key.
type keyOwner struct {
	key          []byte
	organisation Organisation
}

// OrganisationKeys is an organisation with the keys that its callers show.
type OrganisationKeys struct {
	Organisation Organisation
	Keys         []string
}

// NewTable returns the table of one configuration version.
func NewTable(version uint64, limits Limits, routes []Route, pools []Pool, organisations []OrganisationKeys) *Table {
	t := &Table{
		Version:  version,
		Limits:   limits,
		routes:   map[string][]Route{},
		pools:    map[string]Pool{},
		keys:     map[[sha256.Size]byte]keyOwner{},
		tenanted: len(organisations) > 0,
	}
	for _, route := range routes {
		t.routes[route.Host] = append(t.routes[route.Host], route)
	}
	for _, sameHost := range t.routes {
		slices.SortFunc(sameHost, longestPrefixFirst)
	}
	for _, pool := range pools {
		t.pools[pool.Name] = pool
	}
	for _, each := range organisations {
		for _, key := range each.Keys {
			t.keys[sha256.Sum256([]byte(key))] = keyOwner{key: []byte(key), organisation: each.Organisation}
		}
	}
	return t
}

func longestPrefixFirst(a, b Route) int {
	return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Prefix, b.Prefix), cmp.Compare(a.Name, b.Name))
}

// Match returns the route of the host with the longest prefix that begins the path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, route := range t.routes[CanonicalHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// CanonicalHost strips a port and folds case, as host names are compared.
func CanonicalHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// Pool returns the pool of that name.
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

// Routes returns the number of routes.
func (t *Table) Routes() int {
	count := 0
	for _, routes := range t.routes {
		count += len(routes)
	}
	return count
}

// Organisation returns whose key it is. Keys are found by hash and compared in constant time, so that the time of a
// refusal tells nothing about the keys in force.
func (t *Table) Organisation(key string) (Organisation, bool) {
	owner, ok := t.keys[sha256.Sum256([]byte(key))]
	if !ok || subtle.ConstantTimeCompare(owner.key, []byte(key)) != 1 {
		return Organisation{}, false
	}
	return owner.organisation, true
}

// NeedsKey says whether a request of the route must show the key of an organisation.
func (t *Table) NeedsKey(route Route) bool { return t.tenanted && !route.Public }
