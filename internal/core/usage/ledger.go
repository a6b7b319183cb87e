package usage

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// DefaultCellLimit is the number of cells from which Add starts no new windows. A cell takes about
// 150 bytes, so that a ledger at its limit takes less than 10 MB.
const DefaultCellLimit = 50_000

// series identifies the cells that differ only in the window.
type series struct {
	agent        uint64
	organisation string
}

// Ledger holds the counts that a host knows. Counts of a cell merge by maximum, so that the sums don't
// depend on repeats, copies and the order of arrival. It is safe for concurrent use.
type Ledger struct {
	mutex sync.Mutex
	limit int
	cells map[Cell]Amount
	// newestWindow holds the start of the latest window of each series.
	newestWindow map[series]int64
}

// LedgerOption configures a new Ledger.
type LedgerOption func(*Ledger)

// WithCellLimit sets the number of cells from which Add starts no new windows.
func WithCellLimit(limit int) LedgerOption {
	return func(l *Ledger) { l.limit = limit }
}

// NewLedger returns an empty ledger.
func NewLedger(opts ...LedgerOption) *Ledger {
	ledger := &Ledger{
		limit:        DefaultCellLimit,
		cells:        make(map[Cell]Amount),
		newestWindow: make(map[series]int64),
	}
	for _, opt := range opts {
		opt(ledger)
	}
	return ledger
}

// WindowSeconds returns the length of a window in seconds, rounded down but at least one.
func WindowSeconds(length time.Duration) int64 {
	return max(int64(length/time.Second), 1)
}

// WindowStart returns the start, in Unix seconds, of the window that contains at. Windows are aligned to
// the Unix epoch in UTC.
func WindowStart(at time.Time, length time.Duration) int64 {
	return at.Unix() - at.Unix()%WindowSeconds(length)
}

// Add adds the amount to the cell and returns its new total. Only the cell's single writer may call it.
//
// During an outage of the platform nothing is flushed, and each window would add cells without bound.
// At the limit Add therefore uses the latest cell that the same agent and organisation already
// have: the total stays correct, but the usage is counted in an earlier window.
func (l *Ledger) Add(cell Cell, amount Amount) Count {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, ok := l.cells[cell]; !ok && len(l.cells) >= l.limit {
		if window, known := l.newestWindow[seriesOf(cell)]; known {
			cell.Window = window
		}
	}
	total := l.cells[cell].Plus(amount)
	l.set(cell, total)
	return Count{Cell: cell, Amount: total}
}

// Merge raises the cell's amount to the count's where that is larger, and reports whether the ledger changed.
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

// Counts returns all counts, sorted by window, organisation and agent.
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

// Sum returns the usage of the organisation in the window that starts at the Unix second.
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

// Forget deletes the cells for which drop returns true, and returns how many it deleted.
func (l *Ledger) Forget(drop func(Count) bool) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	before := len(l.cells)
	for cell, amount := range l.cells {
		if !drop(Count{Cell: cell, Amount: amount}) {
			continue
		}
		delete(l.cells, cell)
		if l.newestWindow[seriesOf(cell)] == cell.Window {
			delete(l.newestWindow, seriesOf(cell))
		}
	}
	return before - len(l.cells)
}

// Has reports whether the ledger contains the cell.
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
	if window, ok := l.newestWindow[key]; !ok || cell.Window > window {
		l.newestWindow[key] = cell.Window
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
