package batchjob

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/core/roster"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
	"github.com/oleandershelf/oleandershelf/internal/edge/ticker"
)

const (
	fleetSize = 4
	// fleetTick is how often the fleet delivers heartbeats that are due and checks who runs the job.
	fleetTick = 50 * time.Millisecond
	// maxJobGap is how long a job may run at no entry while the store answers.
	maxJobGap = 5 * time.Second
)

// fleet is some entries that exchange heartbeats, can be lost, cut off from the others, restarted and told to leave, and run one job.
type fleet struct {
	t      *testing.T
	ctx    context.Context
	spec   *batch.Job
	store  *memoryStore
	client *storeClient

	mu      sync.Mutex
	entries [fleetSize]*fleetEntry
	log     []string
	started time.Time
}

// fleetEntry is a process of an entry.
type fleetEntry struct {
	member  gossip.Member
	manager *Manager
	stop    context.CancelFunc
	cut     bool
	lost    bool
	known   [fleetSize]knownMember
}

// knownMember is what an entry knows of another one.
type knownMember struct {
	member gossip.Member
	heard  time.Time
	silent bool
}

// fleetMembers are the members as an entry of the fleet knows them.
type fleetMembers struct {
	fleet *fleet
	entry *fleetEntry
}

func (m fleetMembers) Self() gossip.Member {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return m.entry.member
}

func (m fleetMembers) Alive(time.Time) []gossip.Member {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	var alive []gossip.Member
	for _, known := range m.entry.known {
		if known.member.HostID != "" && !known.silent {
			alive = append(alive, known.member)
		}
	}
	return alive
}

func (m fleetMembers) Find(now time.Time, hostID string) (gossip.Member, bool) {
	for _, member := range m.Alive(now) {
		if member.HostID == hostID {
			return member, true
		}
	}
	return gossip.Member{}, false
}

func newFleet(ctx context.Context, t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, ctx: ctx, spec: newStoredSpec(), store: newMemoryStore(), started: time.Now()}
	f.client = f.store.client()
	f.store.put(t, KindJobs, f.spec.ID, f.spec)
	for i := range fleetSize {
		f.start(i, 1)
	}
	return f
}

// start starts a process of an entry, which knows nothing.
func (f *fleet) start(i int, incarnation uint64) {
	ctx, cancel := context.WithCancel(f.ctx)
	registry := peer.NewRegistry()
	address := startPeer(ctx, f.t, registry)
	e := &fleetEntry{member: gossip.Member{HostID: testHostID(i), Cores: 1, Address: address, Incarnation: incarnation}, stop: cancel}
	e.manager = NewManager(ctx, Deps{
		Store:    f.client,
		Balancer: backend.NewBalancer(testHostID(i), "north-a"),
		Peers:    peer.NewClient(ctx, []byte(testSecret)),
		Members:  fleetMembers{fleet: f, entry: e},
		Outage:   func(time.Time) bool { return false },
		Demand:   func() batch.Demand { return batch.Demand{} },
		Metrics:  NewMetrics(prometheus.NewRegistry()),
		Log:      zerolog.New(fleetLog{fleet: f, host: testHostID(i)}),
	}, registry)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries[i] = e
}

// fleetLog collects the lines of an entry.
type fleetLog struct {
	fleet *fleet
	host  string
}

func (l fleetLog) Write(line []byte) (int, error) {
	l.fleet.note("%s %s", l.host, line)
	return len(line), nil
}

// note adds a line to the log that a failed test prints.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log = append(f.log, fmt.Sprintf("%v ", time.Since(f.started).Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

// deliver gives an entry a heartbeat of another one.
func (f *fleet) deliver(now time.Time, from int, sender, receiver *fleetEntry) {
	running, ended := sender.manager.Jobs(now)
	owners := sender.manager.Owners(now, false)
	f.mu.Lock()
	known := receiver.known[from]
	receiver.known[from] = knownMember{member: sender.member, heard: now}
	member := sender.member
	f.mu.Unlock()
	if known.member.HostID != "" && known.member.Incarnation != member.Incarnation {
		receiver.manager.RerunJobsOf(known.member)
	}
	receiver.manager.ApplyGossip(member, running, ended, owners)
}

// detect finds the entries that have become silent for another one.
func (f *fleet) detect(now time.Time, receiver *fleetEntry) {
	var silent []gossip.Member
	f.mu.Lock()
	for i := range receiver.known {
		known := &receiver.known[i]
		if known.member.HostID != "" && !known.silent && now.Sub(known.heard) >= roster.FailureTimeout {
			known.silent = true
			silent = append(silent, known.member)
		}
	}
	f.mu.Unlock()
	for _, member := range silent {
		receiver.manager.RerunJobsOf(member)
	}
}

// exchange delivers the heartbeats that are due.
func (f *fleet) exchange(now time.Time) {
	for from, sender := range f.current() {
		for to, receiver := range f.current() {
			f.mu.Lock()
			due := from != to && !sender.lost && !receiver.lost && !sender.cut && !receiver.cut &&
				now.Sub(receiver.known[from].heard) >= roster.Interval
			f.mu.Unlock()
			if due {
				f.deliver(now, from, sender, receiver)
			}
		}
	}
	for _, receiver := range f.current() {
		if !receiver.lost {
			f.detect(now, receiver)
		}
	}
}

func (f *fleet) current() [fleetSize]*fleetEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries
}

// runners returns how many entries run the job.
func (f *fleet) runners() int {
	count := 0
	for _, e := range f.current() {
		f.mu.Lock()
		lost := e.lost
		f.mu.Unlock()
		if j, ok := e.manager.find(f.spec.ID); ok && !lost && j.isRunning() {
			count++
		}
	}
	return count
}

// lose ends the process of an entry; leave hands its jobs over first.
func (f *fleet) lose(i int) {
	f.mu.Lock()
	e := f.entries[i]
	e.lost = true
	f.mu.Unlock()
	e.stop()
	f.note("%s lost", e.member.HostID)
}

func (f *fleet) leave(i int) {
	f.mu.Lock()
	e := f.entries[i]
	leaves := e.member.Leaving
	e.member.Leaving = true
	f.mu.Unlock()
	if leaves {
		return
	}
	f.note("%s leaves", e.member.HostID)
	ctx, cancel := context.WithTimeout(f.ctx, 2*time.Second)
	defer cancel()
	e.manager.HandOverJobs(ctx)
	e.manager.AwaitHandovers()
	f.lose(i)
}

// cutOff stops the heartbeats from and to an entry for some time.
func (f *fleet) cutOff(i int, duration time.Duration) {
	e := f.current()[i]
	set := func(cut bool) {
		f.mu.Lock()
		e.cut = cut
		f.mu.Unlock()
		f.note("%s cut off: %v", e.member.HostID, cut)
	}
	set(true)
	ticker.Sleep(f.ctx, duration)
	set(false)
}

// disturb carries out one random event.
func (f *fleet) disturb(r *rand.Rand, incarnation uint64) {
	i := r.Intn(fleetSize)
	for candidate := range fleetSize {
		// The entry that runs the job is disturbed more often than the others.
		if j, ok := f.current()[candidate].manager.find(f.spec.ID); ok && j.isRunning() && r.Intn(3) > 0 {
			i = candidate
		}
	}
	pause := time.Duration(r.Intn(2500)) * time.Millisecond
	switch r.Intn(4) {
	case 0:
		f.lose(i)
		ticker.Sleep(f.ctx, pause)
		f.start(i, incarnation)
	case 1:
		f.leave(i)
		ticker.Sleep(f.ctx, pause)
		f.start(i, incarnation)
	case 2:
		f.cutOff(i, pause)
	case 3:
		f.client.setFault(faultDown)
		f.note("store down")
		ticker.Sleep(f.ctx, 2*pause)
		f.client.setFault(faultNone)
		f.note("store back")
	}
}

// Guards against a job that no entry runs for seconds, whatever combination of lost, leaving, restarted and cut off entries led to it.
func TestJobIsNeverWithoutAnEntry(t *testing.T) {
	for _, seed := range []int64{0, 10, 12, 13, 35, 49, 66} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(context.Background())
			f := newFleet(ctx, t)
			defer cancel()
			f.entries[0].manager.assign(f.spec, nil)
			done := make(chan struct{})
			go func() {
				defer close(done)
				r := rand.New(rand.NewSource(seed))
				ticker.Sleep(ctx, time.Second)
				for incarnation := range uint64(8) {
					events := 1 + r.Intn(2)
					var wg sync.WaitGroup
					for each := range events {
						own := rand.New(rand.NewSource(r.Int63()))
						wg.Go(func() { f.disturb(own, 100*incarnation+uint64(each)+2) })
					}
					wg.Wait()
					ticker.Sleep(ctx, time.Duration(r.Intn(1500))*time.Millisecond)
				}
				ticker.Sleep(ctx, maxJobGap)
			}()
			f.watch(done)
		})
	}
}

// watch checks that the job is never without an entry for longer than allowed until done is closed, and that one entry runs it then.
func (f *fleet) watch(done chan struct{}) {
	lastRun, longest := time.Now(), time.Duration(0)
	tick := time.NewTicker(fleetTick)
	defer tick.Stop()
	for {
		select {
		case <-done:
			if count := f.runners(); count != 1 {
				f.fail("%d entries run the job at the end", count)
			}
			f.t.Logf("longest time without an entry: %v", longest)
			return
		case now := <-tick.C:
			f.exchange(now)
			if f.runners() > 0 || f.client.currentFault() == faultDown {
				lastRun = now
			}
			longest = max(longest, now.Sub(lastRun))
			if now.Sub(lastRun) > maxJobGap {
				f.fail("no entry ran the job for %v", now.Sub(lastRun))
				return
			}
		}
	}
}

func (f *fleet) fail(format string, args ...any) {
	f.t.Helper()
	f.t.Errorf(format, args...)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, line := range f.log {
		f.t.Log(line)
	}
}
