package usage

import (
	"cmp"
	"maps"
	"slices"
)

// Share is the part of a report's usage that belongs to one window.
type Share struct {
	// Window is the start of the window in Unix seconds.
	Window int64  `json:"window"`
	Amount Amount `json:"amount"`
}

// Sums holds amounts by organisation and start of the window in Unix seconds.
type Sums map[string]map[int64]Amount

// Add adds the share to the organisation's sum for its window.
func (s Sums) Add(organisation string, share Share) {
	windows, ok := s[organisation]
	if !ok {
		windows = make(map[int64]Amount)
		s[organisation] = windows
	}
	windows[share.Window] = windows[share.Window].Plus(share.Amount)
}

// Organisations returns the names of the organisations, sorted.
func (s Sums) Organisations() []string {
	return slices.Sorted(maps.Keys(s))
}

// First returns the start of the earliest window, and false if there is none.
func (s Sums) First() (window int64, ok bool) {
	for _, windows := range s {
		for start := range windows {
			if !ok || start < window {
				window, ok = start, true
			}
		}
	}
	return window, ok
}

// Unreported returns the usage of an organisation that earlier reports have not accounted for, by window, for the
// windows after oldest up to and including through. Since counts only grow, usage that arrives after its
// window was closed is reported once, with the next window.
func Unreported(used, accounted map[int64]Amount, oldest, through int64) []Share {
	var due []Share
	for window, amount := range used {
		unreported := amount.Minus(accounted[window])
		if window > oldest && window <= through && !unreported.IsZero() {
			due = append(due, Share{Window: window, Amount: unreported})
		}
	}
	slices.SortFunc(due, func(a, b Share) int { return cmp.Compare(a.Window, b.Window) })
	return due
}

// Total returns the sum of the shares, and the part of it that belongs to windows before the given one.
func Total(shares []Share, window int64) (total, carriedOver Amount) {
	for _, share := range shares {
		total = total.Plus(share.Amount)
		if share.Window < window {
			carriedOver = carriedOver.Plus(share.Amount)
		}
	}
	return total, carriedOver
}
