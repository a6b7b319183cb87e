package usage

import "time"

// Figures of closing a window for deployments whose entries tell each other their counts.
const (
	// settleTime is how long after its end a window is closed: each of 380 entries tells the holder its counts every 2.6 s.
	settleTime = 3500 * time.Millisecond
	// missingTime is how long a window waits for an entry that fell silent, and that may come back with its counts.
	// A report is due ten seconds after the window's end, and a failed one is tried again within that time.
	missingTime = 7 * time.Second
	// lookBack is how long after its end a window may still be reported by a holder that took over.
	lookBack = 14 * time.Second
)

// DueWindows returns the numbers, from 1970, of the windows that are to be closed now, oldest first.
func DueWindows(now time.Time, length time.Duration, missing bool) []int64 {
	wait := settleTime
	if missing {
		wait = missingTime
	}
	var due []int64
	for window := now.Add(-lookBack).UnixNano() / int64(length); ; window++ {
		end := time.Unix(0, (window+1)*int64(length))
		if end.Add(wait).After(now) {
			return due
		}
		due = append(due, window)
	}
}

// Window returns the requests of each organisation in the window that starts at the Unix second.
func (l *Ledger) Window(start int64) map[string]uint64 {
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

// Which returns the counts of the cells for which want returns true.
func (l *Ledger) Which(want func(Cell) bool) []Count {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var counts []Count
	for cell, amount := range l.cells {
		if want(cell) {
			counts = append(counts, Count{Cell: cell, Amount: amount})
		}
	}
	return counts
}
