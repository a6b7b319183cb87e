package dispatch

import "slices"

// Restrictions say which servers may not run an item. They may change between two rankings.
type Restrictions struct {
	// excluded holds, by item, the servers that may not run it now.
	excluded map[string]map[string]bool
	// shared holds, by item, sets of such servers that several items have in common.
	shared map[string][]map[string]bool
	// suspects holds the suspects, with true for those that may only run where no other suspect does.
	suspects map[string]bool
	// needIdle are the items that need a server that runs nothing else.
	needIdle map[string]bool
}

// Exclude adds a server that may not run the item now.
func (r *Restrictions) Exclude(item, server string) {
	if r.excluded == nil {
		r.excluded = map[string]map[string]bool{}
	}
	if r.excluded[item] == nil {
		r.excluded[item] = map[string]bool{}
	}
	r.excluded[item][server] = true
}

// ExcludeSet adds servers that may not run the item now, as a set that isn't changed afterwards. It may be added for any number of items.
func (r *Restrictions) ExcludeSet(item string, servers map[string]bool) {
	if r.shared == nil {
		r.shared = map[string][]map[string]bool{}
	}
	r.shared[item] = append(r.shared[item], servers)
}

// Excludes reports whether the server was excluded for the item.
func (r *Restrictions) Excludes(item, server string) bool {
	return r.excluded[item][server] || slices.ContainsFunc(r.shared[item], func(servers map[string]bool) bool { return servers[server] })
}

// ExcludesAny reports whether any server was excluded for the item.
func (r *Restrictions) ExcludesAny(item string) bool {
	return len(r.excluded[item]) > 0 || len(r.shared[item]) > 0
}

// AddSuspect adds a suspect. If it keeps apart, it may not share a server with another suspect; the servers at which one runs already are
// excluded by Exclude.
func (r *Restrictions) AddSuspect(item string, keepsApart bool) {
	if r.suspects == nil {
		r.suspects = map[string]bool{}
	}
	r.suspects[item] = keepsApart
}

// AddNeedIdle adds an item that needs a server that runs nothing else. The servers at which something runs already are excluded by Exclude.
func (r *Restrictions) AddNeedIdle(item string) {
	if r.needIdle == nil {
		r.needIdle = map[string]bool{}
	}
	r.needIdle[item] = true
}

// assigned is what a plan has assigned to a server so far.
type assigned struct {
	items, suspects int
}

// allow reports whether the item may run at the server, beside what is assigned to it.
func (r *Restrictions) allow(item, server string, beside assigned) bool {
	switch {
	case r.Excludes(item, server):
		return false
	case r.needIdle[item] && beside.items > 0:
		return false
	default:
		return !r.suspects[item] || beside.suspects == 0
	}
}

// Restrict replaces the restrictions by which plans are made.
func (r *Ranking) Restrict(restrictions Restrictions) { r.restrictions = restrictions }
