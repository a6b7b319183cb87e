package dispatch

// Restrictions say which servers may not run an item. They may change between two rankings.
type Restrictions struct {
	// excluded holds, by item, the servers that may not run it now.
	excluded map[string]map[string]bool
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

// Excludes reports whether Exclude was called for the item and the server.
func (r *Restrictions) Excludes(item, server string) bool { return r.excluded[item][server] }

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
