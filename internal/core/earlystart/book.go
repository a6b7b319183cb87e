package earlystart

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// createSpread is the time over which all entries spread their creates once the store answers again.
	createSpread = 500 * time.Millisecond
	// maxCreates is how many creates an entry has in progress at most.
	maxCreates = 4
	// createRetryDelay is the pause before a create that had no answer is sent again.
	createRetryDelay = 500 * time.Millisecond
	// lifetimeFactor is the lifetime of an unaccepted job as a multiple of the time in which its results are due: late results still count,
	// and trainers wait for half as long again.
	lifetimeFactor = 2
	// defaultDue is when results are due if the route doesn't say.
	defaultDue = 10 * time.Second
)

// Job is an unaccepted job: its items run here, and the store isn't known to hold it.
type Job struct {
	ID string
	// Begun is when the job began here, and Due the time from its submission until its results are due; 0 if unknown.
	Begun time.Time
	Due   time.Duration
	// Bytes is the size of the job's request bodies.
	Bytes int
}

// record is what a Book knows of a job.
type record struct {
	job Job
	// serial distinguishes this record from others of the same id before and after it.
	serial    int
	textBytes int
	// createAt is the earliest time of the next create; creating is set while one is in progress.
	createAt time.Time
	creating bool
}

// expiresAt returns when the job is given up.
func (r *record) expiresAt() time.Time {
	due := r.job.Due
	if due <= 0 {
		due = defaultDue
	}
	return r.job.Begun.Add(lifetimeFactor * due)
}

// Book records the unaccepted jobs of an entry. It is not safe for concurrent use.
type Book struct {
	records map[string]*record
	// down is whether the store was known to be down when Creates was last called.
	down bool
	// creating is the number of creates in progress, including those of jobs that have left the book.
	creating int
	// lastSerial is the serial of the newest record.
	lastSerial int
}

// Create is a create of a job's object that is to be sent. The serial is of the job's record: the job may be given up during the create,
// and be begun again.
type Create struct {
	ID     string
	Serial int
}

// NewBook returns a book without jobs.
func NewBook() *Book { return &Book{records: map[string]*record{}} }

// Begin adds a job; false if the limits don't allow one more.
func (b *Book) Begin(job Job) bool {
	if len(b.records) >= MaxJobs || b.Bytes()+job.Bytes > MaxBytes {
		return false
	}
	b.lastSerial++
	b.records[job.ID] = &record{job: job, serial: b.lastSerial, createAt: job.Begun.Add(createOffset(job.ID))}
	return true
}

// Bytes returns the size of the bodies and text of all jobs.
func (b *Book) Bytes() int {
	total := 0
	for _, r := range b.records {
		total += r.job.Bytes + r.textBytes
	}
	return total
}

// SetText records the size of the text that a job has produced.
func (b *Book) SetText(id string, bytes int) {
	if r, ok := b.records[id]; ok {
		r.textBytes = bytes
	}
}

// Full reports whether the text has reached the limit, so that no unaccepted job may start further items.
func (b *Book) Full() bool { return b.Bytes() >= MaxBytes }

// Remove removes a job that was accepted or given up.
func (b *Book) Remove(id string) { delete(b.records, id) }

// Expired returns the jobs whose time is up, sorted.
func (b *Book) Expired(now time.Time) []string {
	var ids []string
	for id, r := range b.records {
		if !now.Before(r.expiresAt()) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Creates returns the jobs whose objects are to be created now, and counts those creates as in progress until CreateEnded. Down is whether
// no entry reaches the store.
//
// Once the store answers again, all entries create their jobs. Each job has its own time within createSpread, so that the store, which
// has just recovered, isn't called by all of them at once.
func (b *Book) Creates(now time.Time, down bool) []Create {
	if b.down && !down {
		b.spread(now)
	}
	b.down = down
	if down {
		return nil
	}
	var due []*record
	for _, r := range b.records {
		if !r.creating && !now.Before(r.createAt) {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(x, y *record) int {
		return cmp.Or(x.createAt.Compare(y.createAt), cmp.Compare(x.job.ID, y.job.ID))
	})
	var creates []Create
	for _, r := range due[:min(len(due), max(0, maxCreates-b.creating))] {
		r.creating = true
		b.creating++
		creates = append(creates, Create{ID: r.job.ID, Serial: r.serial})
	}
	return creates
}

// CreateEnded records the end of a create. Answered is whether the store answered; without an answer the create is sent again.
func (b *Book) CreateEnded(now time.Time, create Create, answered bool) {
	b.creating--
	if r, ok := b.records[create.ID]; ok && r.serial == create.Serial {
		r.creating = false
		r.createAt = now.Add(createRetryDelay)
	}
	if answered {
		b.bringForward(now)
	}
}

// StoreAnswered records that the store answered a create of another kind, so that jobs whose create failed before needn't wait.
func (b *Book) StoreAnswered(now time.Time) { b.bringForward(now) }

// Hasten makes the next create of a job due: its submission was repeated while the store isn't known to be down. Without it the trainer
// would wait for a create that was put off, although the store answers.
func (b *Book) Hasten(now time.Time, id string) {
	if r, ok := b.records[id]; ok && now.Before(r.createAt) {
		r.createAt = now
	}
}

// spread reschedules every job's next create.
func (b *Book) spread(now time.Time) {
	for id, r := range b.records {
		r.createAt = now.Add(createOffset(id))
	}
}

// bringForward lets no job wait longer than createSpread for its next create.
func (b *Book) bringForward(now time.Time) {
	for id, r := range b.records {
		if at := now.Add(createOffset(id)); at.Before(r.createAt) {
			r.createAt = at
		}
	}
}

// createOffset returns the job's own time within createSpread.
func createOffset(id string) time.Duration {
	return time.Duration(xxhash.Sum64String(id) % uint64(createSpread)) //nolint:gosec // the remainder is below createSpread
}
