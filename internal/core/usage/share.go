package usage

import (
	"cmp"
	"maps"
	"slices"
)

// Share is the part of a report that ran in one window.
type Share struct {
	// Window is the start of the window in Unix seconds.
	Window int64  `json:"window"`
	Amount Amount `json:"amount"`
}

// Sums are amounts by organisation and window.
type Sums map[string]map[int64]Amount

// Plus grows one sum.
func (s Sums) Plus(organisation string, share Share) {
	windows, ok := s[organisation]
	if !ok {
		windows = make(map[int64]Amount)
		s[organisation] = windows
	}
	windows[share.Window] = windows[share.Window].Plus(share.Amount)
}

// Organisations returns the names, sorted.
func (s Sums) Organisations() []string {
	return slices.Sorted(maps.Keys(s))
}

// First returns the earliest window in which something was used.
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

// Due returns what an organisation used from the window after oldest up to the window through and
// what no earlier report accounted for, by window. Since counts only grow, what arrives after a
// window was closed is due in the next one, once.
func Due(used, accounted map[int64]Amount, oldest, through int64) []Share {
	var due []Share
	for window, amount := range used {
		rest := amount.Minus(accounted[window])
		if window > oldest && window <= through && !rest.IsZero() {
			due = append(due, Share{Window: window, Amount: rest})
		}
	}
	slices.SortFunc(due, func(a, b Share) int { return cmp.Compare(a.Window, b.Window) })
	return due
}

// Total sums the shares, and apart those of windows before the given one.
func Total(shares []Share, window int64) (figures, carriedOver Amount) {
	for _, share := range shares {
		figures = figures.Plus(share.Amount)
		if share.Window < window {
			carriedOver = carriedOver.Plus(share.Amount)
		}
	}
	return figures, carriedOver
}
