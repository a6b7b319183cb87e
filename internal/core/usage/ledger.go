package usage

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// DefaultCellLimit is the number of cells from which Add opens no new windows. A cell takes about
// 150 bytes, so that a ledger at its limit stays below 10 MB.
const DefaultCellLimit = 50_000

// series is a cell without its window.
type series struct {
	agent        uint64
	organisation string
}

// Ledger holds the counts that a host knows. It merges by maximum, so that repeats, copies and
// any order of arrival leave the same sums. It is safe for concurrent use.
type Ledger struct {
	mutex  sync.Mutex
	limit  int
	cells  map[Cell]Amount
	newest map[series]int64
}

// LedgerOption changes a ledger under construction.
type LedgerOption func(*Ledger)

// WithCellLimit sets the number of cells from which Add opens no new windows.
func WithCellLimit(limit int) LedgerOption {
	return func(l *Ledger) { l.limit = limit }
}

// NewLedger returns an empty ledger.
func NewLedger(opts ...LedgerOption) *Ledger {
	ledger := &Ledger{
		limit:  DefaultCellLimit,
		cells:  make(map[Cell]Amount),
		newest: make(map[series]int64),
	}
	for _, opt := range opts {
		opt(ledger)
	}
	return ledger
}

// WindowSeconds returns the length of a window in whole seconds, at least one.
func WindowSeconds(length time.Duration) int64 {
	return max(int64(length/time.Second), 1)
}

// WindowStart returns the start in Unix seconds of the window that holds at; windows are cut from
// the Unix epoch in UTC.
func WindowStart(at time.Time, length time.Duration) int64 {
	return at.Unix() - at.Unix()%WindowSeconds(length)
}

// Add grows the cell by the amount and returns its new total. Only the cell's single writer may call it.
//
// In an outage of the platform nothing is flushed and every window would add cells without end.
// At the limit Add therefore grows the newest cell that the same entry, agent and organisation
// already have: the total stays right, and only the window of the usage is an earlier one.
func (l *Ledger) Add(cell Cell, amount Amount) Count {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, ok := l.cells[cell]; !ok && len(l.cells) >= l.limit {
		if window, known := l.newest[seriesOf(cell)]; known {
			cell.Window = window
		}
	}
	total := l.cells[cell].Plus(amount)
	l.set(cell, total)
	return Count{Cell: cell, Amount: total}
}

// Merge takes over what the count has beyond the ledger and reports whether the ledger changed.
func (l *Ledger) Merge(count Count) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known, ok := l.cells[count.Cell]
	merged := known.Max(count.Amount)
	if ok && merged == known {
		return false
	}
	l.set(count.Cell, merged)
	return true
}

// Counts returns all counts, sorted by window, organisation, entry and agent.
func (l *Ledger) Counts() []Count {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	counts := make([]Count, 0, len(l.cells))
	for cell, amount := range l.cells {
		counts = append(counts, Count{Cell: cell, Amount: amount})
	}
	slices.SortFunc(counts, compareCounts)
	return counts
}

// Sum returns what the organisation used in the window that starts at the Unix second.
func (l *Ledger) Sum(organisation string, window int64) Amount {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var sum Amount
	for cell, amount := range l.cells {
		if cell.Organisation == organisation && cell.Window == window {
			sum = sum.Plus(amount)
		}
	}
	return sum
}

// Forget drops the cells for which drop returns true, and returns how many there were.
func (l *Ledger) Forget(drop func(Count) bool) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	before := len(l.cells)
	for cell, amount := range l.cells {
		if !drop(Count{Cell: cell, Amount: amount}) {
			continue
		}
		delete(l.cells, cell)
		if l.newest[seriesOf(cell)] == cell.Window {
			delete(l.newest, seriesOf(cell))
		}
	}
	return before - len(l.cells)
}

// Has reports whether the ledger knows the cell.
func (l *Ledger) Has(cell Cell) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_, ok := l.cells[cell]
	return ok
}

// Len returns the number of cells.
func (l *Ledger) Len() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.cells)
}

func (l *Ledger) set(cell Cell, amount Amount) {
	l.cells[cell] = amount
	key := seriesOf(cell)
	if window, ok := l.newest[key]; !ok || cell.Window > window {
		l.newest[key] = cell.Window
	}
}

func seriesOf(cell Cell) series {
	return series{agent: cell.Agent, organisation: cell.Organisation}
}

func compareCounts(a, b Count) int {
	return cmp.Or(
		cmp.Compare(a.Cell.Window, b.Cell.Window),
		cmp.Compare(a.Cell.Organisation, b.Cell.Organisation),
		cmp.Compare(a.Cell.Agent, b.Cell.Agent),
	)
}
