package batch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	poolSize   = 9
	poolSlots  = 12
	eventTime  = 50 * time.Millisecond
	itemEvents = 20
	// restartTime is how long a server that ended is away.
	restartTime = time.Second
	// reviewDelay is the time until a withheld item is reviewed.
	reviewDelay = 500 * time.Millisecond
)

// serverEndLoad plays a job at a pool whose servers end, by chance or under some of the items, in virtual time.
type serverEndLoad struct {
	random   *rand.Rand
	progress *Progress
	now      time.Time
	// events is the length of the items.
	events int
	// backAt is when each server that ended returns; runs holds the items that run at each.
	backAt [poolSize]time.Time
	runs   [poolSize]map[string]int
	// tracker has the counts of the items, and pool the ends of all servers.
	tracker *EndTracker
	pool    endHistory
	// lastEnd is when the last server ended under each item, and sends counts the runs of each item.
	lastEnd map[string]time.Time
	sends   map[string]int
	// limits are the numbers of events after which the runs of items are ended; 0 if they aren't.
	limits map[string]int
	// stopped counts the servers that the harmful items ended.
	stopped map[string]int
}

func newServerEndLoad(seed uint64, items int, harmful ...string) *serverEndLoad {
	job := &Job{ID: "j", Accepted: start, Terms: Terms{ItemTimeout: time.Hour, MaxAttempts: 2}}
	for i := range items {
		job.Items = append(job.Items, Item{ID: fmt.Sprint(i), Group: fmt.Sprint(i)})
	}
	l := &serverEndLoad{
		random: rand.New(rand.NewPCG(seed, 1)), progress: NewProgress(job, 1), now: start, events: itemEvents,
		tracker: NewEndTracker(), pool: endHistory{}, lastEnd: map[string]time.Time{}, sends: map[string]int{},
		limits: map[string]int{}, stopped: map[string]int{},
	}
	for i := range l.runs {
		l.runs[i] = map[string]int{}
	}
	for _, item := range harmful {
		l.stopped[item] = 0
	}
	return l
}

// endServer ends a server under all that runs there.
func (l *serverEndLoad) endServer(server int) {
	if l.now.Before(l.backAt[server]) {
		return
	}
	l.backAt[server] = l.now.Add(restartTime)
	id := NewEndID(fmt.Sprint(server), l.now, false)
	l.pool[id] = l.now
	for _, item := range slices.Sorted(maps.Keys(l.runs[server])) {
		events, last := l.runs[server][item], l.progress.items[item].output.LastEvent
		l.lastEnd[item] = l.now
		l.progress.RecordServerEnd(item, EndedRun{
			Server: id, From: last - events, Last: last, Lasted: time.Duration(events+1) * eventTime, Short: l.limits[item] > 0,
		})
		l.tracker.Count(l.now, item, "p", false, l.progress.ServerEnds(item))
		l.progress.Requeue(item)
	}
	clear(l.runs[server])
}

// clearEnds records that a run of the item has survived.
func (l *serverEndLoad) clearEnds(item string) {
	l.progress.ClearServerEnds(item, false)
	l.tracker.Clear(l.now, item, false, l.progress.ServerEnds(item))
}

// step plays the next event of all runs, and starts what waits.
func (l *serverEndLoad) step() {
	l.now = l.now.Add(eventTime)
	for server, runs := range l.runs {
		for _, item := range slices.Sorted(maps.Keys(runs)) {
			if _, harmful := l.stopped[item]; harmful {
				l.stopped[item]++
				l.endServer(server)
				break
			}
			output := l.progress.items[item].output
			output.Append(Event{Number: output.LastEvent + 1}, 1)
			runs[item]++
			if runs[item] == l.progress.ServerEnds(item).SurvivedAfter() {
				l.clearEnds(item)
			}
			limit := l.limits[item]
			switch {
			case output.LastEvent == l.events:
				delete(runs, item)
				l.clearEnds(item)
				l.progress.RecordCompletion(l.now, item)
			case limit > 0 && runs[item] >= limit:
				delete(runs, item)
				l.progress.Requeue(item)
			}
		}
	}
	l.reviewWithheld()
	l.startItems()
}

// reviewWithheld releases withheld items that may run again.
func (l *serverEndLoad) reviewWithheld() {
	withheld := slices.DeleteFunc(l.progress.ReviewWithheld(l.now), func(item string) bool {
		return l.now.Equal(l.lastEnd[item]) || l.now.Sub(l.lastEnd[item])%reviewDelay != 0
	})
	if len(withheld) == 0 {
		return
	}
	explained := l.tracker.Explained(withheld)
	for _, item := range withheld {
		if item == explained || l.progress.ServerEnds(item).MayRunAgain(l.poolEnds(item)) {
			l.progress.ReleaseForIsolatedRun(l.now, item)
		}
	}
}

func (l *serverEndLoad) poolEnds(item string) PoolEnds {
	return l.tracker.PoolEnds(l.now, item, "p", func(_ string, from, to time.Time, accept func(EndID) bool) (int, int) {
		return l.pool.in(from, to, accept), poolSize
	})
}

func (l *serverEndLoad) startItems() {
	for range len(l.progress.items) {
		item, ok := l.progress.Next()
		if !ok {
			return
		}
		l.postpone(item.ID)
		first := l.random.IntN(poolSize)
		for i := range poolSize {
			if server := (first + i) % poolSize; l.mayRunAt(item.ID, server) {
				l.progress.Start(item.ID)
				l.limits[item.ID] = l.progress.ServerEnds(item.ID).RunLimit(l.poolEnds(item.ID)).Events
				l.runs[server][item.ID] = 0
				l.sends[item.ID]++
				break
			}
		}
	}
}

// postpone lets the items that wait go before this one.
func (l *serverEndLoad) postpone(item string) {
	state := l.progress.items[item]
	l.progress.queue = append(slices.DeleteFunc(l.progress.queue, func(other *itemState) bool { return other == state }), state)
}

func (l *serverEndLoad) mayRunAt(item string, server int) bool {
	if l.now.Before(l.backAt[server]) || len(l.runs[server]) >= poolSlots {
		return false
	}
	if l.progress.NeedsIdleServer(l.now, item) && len(l.runs[server]) > 0 {
		return false
	}
	for other := range l.runs[server] {
		if l.progress.KeepsApart(l.now, item) && l.progress.Suspect(other) {
			return false
		}
	}
	return true
}

// play runs the load for a time, in which servers end by chance at the given interval, count at once; 0 stands for none.
func (l *serverEndLoad) play(duration, interval time.Duration, count int) {
	next := l.now.Add(interval)
	for end := l.now.Add(duration); l.now.Before(end); l.step() {
		if interval > 0 && !l.now.Before(next) {
			next = next.Add(interval)
			for _, server := range l.random.Perm(poolSize)[:count] {
				l.endServer(server)
			}
		}
	}
}

// checkCompleted checks that all items but the harmful ones have completed.
func (l *serverEndLoad) checkCompleted(t *testing.T) {
	t.Helper()
	for id, state := range l.progress.items {
		if _, harmful := l.stopped[id]; !harmful && state.result.State != StateCompleted {
			t.Errorf("item %s has not completed after %d runs; its counts are %+v", id, l.sends[id], state.ends)
		}
	}
}

// Guards against sound items that stay withheld after waves in which servers end.
func TestSoundItemsCompleteAfterWavesOfServerEnds(t *testing.T) {
	for _, wave := range []struct {
		name     string
		interval time.Duration
		count    int
	}{
		{name: "a server or two at a time", interval: 150 * time.Millisecond, count: 1},
		{name: "half of the pool", interval: 1200 * time.Millisecond, count: 5},
		{name: "one after another", interval: 400 * time.Millisecond, count: 1},
	} {
		for seed := range uint64(50) {
			t.Run(fmt.Sprintf("%s, seed %d", wave.name, seed), func(t *testing.T) {
				load := newServerEndLoad(seed, 60)
				load.play(4*time.Second, wave.interval, wave.count)
				load.play(8*time.Second, 0, 0)
				load.checkCompleted(t)
			})
		}
	}
}

// Guards against items that end servers without a bound, by themselves, with others like them, and while servers end by chance.
func TestServerEndsOfHarmfulItemsStayBounded(t *testing.T) {
	for _, test := range []struct {
		name    string
		harmful []string
		// interval is the time between two ends by chance.
		interval time.Duration
	}{
		{name: "one", harmful: []string{"3"}},
		{name: "two", harmful: []string{"3", "7"}},
		{name: "five", harmful: []string{"3", "7", "11", "12", "13"}},
		{name: "one, and ends by chance", harmful: []string{"3"}, interval: 300 * time.Millisecond},
		{name: "as many as servers", harmful: []string{"1", "2", "3", "4", "5", "6", "7", "8", "9"}},
	} {
		for seed := range uint64(50) {
			t.Run(fmt.Sprintf("%s, seed %d", test.name, seed), func(t *testing.T) {
				load := newServerEndLoad(seed, 60, test.harmful...)
				load.play(25*time.Second, test.interval, 1)
				for _, item := range test.harmful {
					if load.stopped[item] > MaxServerEnds {
						t.Errorf("item %s ended %d servers, want at most %d; its counts are %+v", item, load.stopped[item], MaxServerEnds,
							load.progress.ServerEnds(item))
					}
				}
				if test.interval == 0 {
					load.checkCompleted(t)
				}
			})
		}
	}
}
