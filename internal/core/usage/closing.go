package usage

import "time"

// Times at which a window is closed in deployments whose entries send each other their counts.
const (
	// closeDelay is the time from the end of a window until it is closed: each of 380 entries sends its counts to the holder of the
	// duty every 2.6 s.
	closeDelay = 3500 * time.Millisecond
	// missingEntryDelay replaces closeDelay while an entry is silent that may come back with its counts. A report is due ten seconds
	// after the window's end, and a failed report is retried within that time.
	missingEntryDelay = 7 * time.Second
	// takeoverLookback is how long after its end a window may still be reported by a holder that took the duty over.
	takeoverLookback = 14 * time.Second
)

// DueWindows returns the numbers of the windows to close now, oldest first. Windows are numbered from the Unix epoch. EntryMissing
// reports whether an entry is silent whose counts may still arrive.
func DueWindows(now time.Time, length time.Duration, entryMissing bool) []int64 {
	delay := closeDelay
	if entryMissing {
		delay = missingEntryDelay
	}
	var due []int64
	for window := now.Add(-takeoverLookback).UnixNano() / int64(length); ; window++ {
		end := time.Unix(0, (window+1)*int64(length))
		if end.Add(delay).After(now) {
			return due
		}
		due = append(due, window)
	}
}

// RequestsInWindow returns the number of requests of each organisation in the window that starts at the Unix second.
func (l *Ledger) RequestsInWindow(start int64) map[string]uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	counts := map[string]uint64{}
	for cell, amount := range l.cells {
		if cell.Window == start {
			counts[cell.Organisation] += amount.Requests
		}
	}
	return counts
}

// Filter returns the counts of the cells for which keep returns true, in no particular order.
func (l *Ledger) Filter(keep func(Cell) bool) []Count {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var counts []Count
	for cell, amount := range l.cells {
		if keep(cell) {
			counts = append(counts, Count{Cell: cell, Amount: amount})
		}
	}
	return counts
}
