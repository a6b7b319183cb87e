package batch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// harmKind is how an item ends its servers.
type harmKind uint8

const (
	harmless harmKind = iota
	harmOnArrival
	harmAtEvent
	harmAfterAdvance
	// harmAfterTime ends the server some time after the run began, whether or not it was cut off.
	harmAfterTime
	// harmAfterVaryingTime is that with another time for each run.
	harmAfterVaryingTime
	harmKinds = iota - 1
)

const (
	modelTick       = 50 * time.Millisecond
	modelSlots      = 12
	modelEvents     = 20
	modelRestart    = 20 // ticks until a server that ended is back
	modelHeartbeat  = 6
	modelTakeover   = 14
	modelPage       = 18
	modelStall      = 50 // ticks until a silent server is left
	modelExpiry     = 60 // ticks until the registration of a silent server is gone
	modelDuration   = 800
	modelAtNoServer = 4 * time.Second
)

type modelItem struct {
	id      string
	harm    harmKind
	harmAt  int
	silent  bool
	entry   int
	output  int
	paged   int
	running bool
	done    bool
	// chases is how many servers end by chance under the item, each after harmAt ticks of its run.
	chases int
	// blockedTo is until when the item waits for what becomes of the server of its last short run, and watched whether it has waited before.
	blockedTo int
	watched   bool
	// later counts the sends after the third end that it caused.
	later int
	// caused counts the servers that it ended, and lost those whose ends only an entry that was killed knew.
	caused, lost int
	sends        int
	idle         int
	longest      int
	// byChance is set if an entry that was killed released it because each server of the pool had ended by chance.
	byChance bool
	// alike is set once the item was at no server after runs like those of harmful items.
	alike bool
}

type modelRun struct {
	item   *modelItem
	events int
	limit  RunLimit
	ticks  int
	// began is the tick at which the run began.
	began int
}

// modelWatch is a server that is watched after a short run has left it.
type modelWatch struct {
	run     *modelRun
	server  int
	started int64
	// An end counts from after until until.
	after, until int
	from         int
	last         int
}

// modelTimer is an end of a server that is due.
type modelTimer struct {
	item    *modelItem
	server  int
	started int64
	at      int
}

type modelServer struct {
	generation int64
	backAt     int
	silentAt   int // 0 while it answers
	runs       []*modelRun
}

type modelEntry struct {
	rule   *modelRule
	deadTo int
	// pages holds what was written for its items.
	pages map[string]ServerEnds
}

// harmModel plays harmful and sound items at several entries before a pool whose servers also end by chance.
type harmModel struct {
	random  *rand.Rand
	tick    int
	servers []*modelServer
	entries []*modelEntry
	items   []*modelItem
	chance  map[int]int // servers that end by chance, by tick
	kills   map[int]int // entries that are killed, by tick
	later   int         // when the items come again in a later job at another entry
	calm    int         // the last tick of trouble
	timers  []modelTimer
	watches []modelWatch
	name    string
}

func newHarmModel(seed uint64) *harmModel {
	random := rand.New(rand.NewPCG(seed, 3))
	m := &harmModel{random: random, chance: map[int]int{}, kills: map[int]int{}}
	size := []int{9, 40}[random.IntN(2)]
	for range size {
		m.servers = append(m.servers, &modelServer{})
	}
	for range 1 + random.IntN(3) {
		m.entries = append(m.entries, &modelEntry{rule: newModelRule(), pages: map[string]ServerEnds{}})
	}
	for i := range 24 + random.IntN(70) {
		m.items = append(m.items, &modelItem{id: fmt.Sprintf("i%02d", i), entry: random.IntN(len(m.entries))})
	}
	harmful := []int{0, 1, 1, 3, 5}[random.IntN(5)]
	silent := random.IntN(4) == 0
	for _, item := range m.items[:harmful] {
		item.harm = harmOnArrival + harmKind(random.IntN(3))
		item.harmAt, item.silent = 2+random.IntN(8), silent && item.harm != harmAfterAdvance
	}
	chance := random.IntN(4)
	switch chance {
	case 1:
		for range 6 {
			m.chance[10+random.IntN(40)]++
		}
	case 2:
		for i := range 24 {
			m.chance[10+3*i] += 1 + random.IntN(2)
		}
	case 3:
		for i := range 3 {
			m.chance[10+30*i] = size
		}
	}
	for tick := range m.chance {
		m.calm = max(m.calm, tick)
	}
	for range random.IntN(3) {
		m.kills[5+random.IntN(150)] = random.IntN(len(m.entries))
	}
	for tick := range m.kills {
		m.calm = max(m.calm, tick+modelTakeover)
	}
	if random.IntN(2) == 0 {
		m.later = 300
	}
	m.name = fmt.Sprintf("seed %d, %d servers, %d entries, %d items, %d harmful, silent %v, chance %d, %d kills", seed, size, len(m.entries), len(m.items),
		harmful, silent, chance, len(m.kills))
	return m
}

// newLateHarmModel is newHarmModel with harmful items of all kinds, and in some loads with a sound item whose servers end by chance, wherever it runs.
func newLateHarmModel(seed uint64) *harmModel {
	m := newHarmModel(seed)
	random := rand.New(rand.NewPCG(seed, 4))
	for _, item := range m.items {
		if item.harm != harmless {
			item.harm = harmOnArrival + harmKind(random.IntN(harmKinds))
			item.harmAt, item.silent = 2+random.IntN(8), item.silent && item.harm < harmAfterAdvance
		}
	}
	if random.IntN(2) == 0 {
		item := m.items[len(m.items)-1]
		item.chases, item.harmAt = MaxServerEnds, 3+random.IntN(5)
	}
	return m
}

func (m *harmModel) now() time.Time { return start.Add(time.Duration(m.tick) * modelTick) }

func (m *harmModel) key(server int) ServerRun {
	return ServerRun{ID: fmt.Sprint(server), Started: m.servers[server].generation}
}

// endServer ends a server, or makes it silent; its entries learn of that now or when their runs stall.
func (m *harmModel) endServer(index int, silent bool) {
	s := m.servers[index]
	if m.tick < s.backAt || s.silentAt > 0 {
		return
	}
	if silent {
		s.silentAt = m.tick
		return
	}
	m.interrupt(index, s.runs)
	for _, e := range m.entries {
		e.rule.poolEnded(m.now(), m.key(index))
	}
	s.runs = nil
	s.generation++
	s.backAt = m.tick + modelRestart
}

// interrupt tells the entries of the runs that their server ended.
func (m *harmModel) interrupt(index int, runs []*modelRun) {
	for _, run := range runs {
		run.item.running, run.item.watched = false, false
		e := m.entries[run.item.entry]
		if m.tick < e.deadTo {
			continue
		}
		e.rule.ended(m.now(), run.item.id, EndedRun{
			Server: m.key(index).endID(), From: run.item.output - run.events, Last: run.item.output, Lasted: m.since(run), Short: run.limit.Events > 0,
		})
	}
}

func (m *harmModel) since(run *modelRun) time.Duration {
	return time.Duration(m.tick-run.began) * modelTick
}

// playTimers ends the servers whose ends are due.
func (m *harmModel) playTimers() {
	for _, timer := range m.timers {
		s := m.servers[timer.server]
		if timer.at == m.tick && s.generation == timer.started && m.tick >= s.backAt {
			timer.item.caused++
			m.endServer(timer.server, false)
		}
	}
	m.timers = slices.DeleteFunc(m.timers, func(t modelTimer) bool { return t.at <= m.tick })
}

// chase ends the servers of the items that are chased.
func (m *harmModel) chase() {
	for index, s := range m.servers {
		for _, run := range s.runs {
			if run.item.chases > 0 && m.tick-run.began >= run.item.harmAt {
				run.item.chases--
				m.endServer(index, false)
				break
			}
		}
	}
}

// playWatches tells the entries which servers ended after short runs had left them.
func (m *harmModel) playWatches() {
	for _, w := range m.watches {
		item, e := w.run.item, m.entries[w.run.item.entry]
		if w.until != m.tick || m.tick < e.deadTo {
			continue
		}
		if m.servers[w.server].generation != w.started && m.servers[w.server].backAt-modelRestart >= w.after {
			e.rule.ended(m.now(), item.id, EndedRun{
				Server: ServerRun{ID: fmt.Sprint(w.server), Started: w.started}.endID(), From: w.from, Last: w.last, Lasted: m.since(w.run), CutOff: true,
			})
			item.watched = false
		} else {
			item.watched = true
		}
	}
	m.watches = slices.DeleteFunc(m.watches, func(w modelWatch) bool { return w.until <= m.tick })
}

// cutOff ends a short run, and watches its server.
func (m *harmModel) cutOff(index int, run *modelRun) {
	item, e := run.item, m.entries[run.item.entry]
	from, to := e.rule.tracker.Get(m.now(), item.id).WatchTime(e.rule.poolEnds(m.now(), item.id, len(m.servers)))
	after, until := run.began+int(from/modelTick), max(m.tick+1, run.began+int(to/modelTick))
	m.watches = append(m.watches, modelWatch{
		run: run, server: index, started: m.servers[index].generation, after: after, until: until, from: item.output - run.events, last: item.output,
	})
	if !item.watched {
		item.blockedTo = until
	}
}

// playRuns lets each run bring an event, or end its server.
func (m *harmModel) playRuns() {
	for index, s := range m.servers {
		if s.silentAt > 0 {
			m.playSilent(index, s)
			continue
		}
		for _, run := range slices.Clone(s.runs) {
			if !slices.Contains(s.runs, run) {
				continue
			}
			item := run.item
			if m.harms(run) {
				item.caused++
				m.endServer(index, item.silent)
				break
			}
			run.events++
			item.output++
			m.entries[item.entry].rule.received(m.now(), item.id, run.events, false)
			completed := item.output == modelEvents && item.harm < harmAfterAdvance || item.output == 60
			cut := run.limit.Events > 0 && (run.events >= run.limit.Events || run.limit.Time > 0 && m.since(run) >= run.limit.Time)
			if completed || cut {
				item.running, item.done = false, completed
				if !completed {
					m.cutOff(index, run)
				}
				s.runs = slices.DeleteFunc(s.runs, func(r *modelRun) bool { return r == run })
				m.entries[item.entry].rule.received(m.now(), item.id, run.events, completed)
			}
		}
	}
}

// playSilent lets runs at a silent server stall, and the server expire.
func (m *harmModel) playSilent(index int, s *modelServer) {
	for _, run := range slices.Clone(s.runs) {
		if run.ticks++; run.ticks >= modelStall {
			s.runs = slices.DeleteFunc(s.runs, func(r *modelRun) bool { return r == run })
			m.interrupt(index, []*modelRun{run})
		}
	}
	if m.tick-s.silentAt >= modelExpiry {
		s.silentAt = 0
		m.endServer(index, false)
	}
}

// harms reports whether the run ends its server now.
func (m *harmModel) harms(run *modelRun) bool {
	switch run.item.harm {
	case harmOnArrival:
		return true
	case harmAtEvent:
		return run.item.output >= run.item.harmAt
	case harmAfterAdvance:
		return run.events >= run.item.harmAt
	default:
		return false
	}
}

// startItems starts the waiting items of the living entries.
func (m *harmModel) startItems() {
	for _, i := range m.random.Perm(len(m.items)) {
		item := m.items[i]
		e := m.entries[item.entry]
		if item.running || item.done || m.tick < e.deadTo || m.tick <= item.blockedTo {
			item.idle = 0
			continue
		}
		ok, limit := e.rule.permit(m.now(), item.id, len(m.servers))
		started := false
		if ok {
			started = m.startItem(item, e, limit)
		}
		if started || !m.free() {
			item.idle = 0
			continue
		}
		item.idle++
		item.alike = item.alike || e.rule.tracker.Get(m.now(), item.id).stalledOut()
		item.longest = max(item.longest, item.idle)
	}
}

func (m *harmModel) free() bool {
	return slices.ContainsFunc(m.servers, func(s *modelServer) bool { return m.tick >= s.backAt && s.silentAt == 0 && len(s.runs) < modelSlots/2 })
}

func (m *harmModel) startItem(item *modelItem, e *modelEntry, limit RunLimit) bool {
	for _, index := range m.random.Perm(len(m.servers)) {
		s := m.servers[index]
		if m.tick < s.backAt || len(s.runs) >= modelSlots || e.rule.tracker.Get(m.now(), item.id).OverLimit() && len(s.runs) > 0 && item.idle < 20 {
			continue
		}
		beside := slices.ContainsFunc(s.runs, func(r *modelRun) bool { return e.rule.tracker.Get(m.now(), r.item.id).Suspect() }) ||
			slices.ContainsFunc(m.watches, func(w modelWatch) bool { return w.server == index && w.started == s.generation && w.run.item != item })
		if e.rule.tracker.Get(m.now(), item.id).Suspect() && beside && item.idle < 50 {
			continue
		}
		run := &modelRun{item: item, limit: limit, began: m.tick}
		s.runs = append(s.runs, run)
		item.running = true
		item.sends++
		if item.caused-item.lost >= MaxServerEnds {
			item.later++
		}
		after := item.harmAt
		if item.harm == harmAfterVaryingTime {
			after = 1 + m.random.IntN(item.harmAt)
		}
		if item.harm >= harmAfterTime {
			m.timers = append(m.timers, modelTimer{item: item, server: index, started: s.generation, at: m.tick + after})
		}
		return true
	}
	return false
}

// gossip exchanges what the entries know, and writes it to pages.
func (m *harmModel) gossip() {
	for i, from := range m.entries {
		if m.tick < from.deadTo {
			continue
		}
		if m.tick%modelPage == 0 {
			clear(from.pages)
			for _, item := range m.items {
				if item.entry == i {
					item.paged = item.output
					from.pages[item.id] = from.rule.tracker.Get(m.now(), item.id)
				}
			}
		}
		for _, to := range m.entries {
			if m.tick%modelHeartbeat == 0 && to != from && m.tick >= to.deadTo && m.random.IntN(10) > 0 {
				to.rule.merge(m.now(), from.rule.tracker.Shared(m.now()))
			}
		}
	}
}

// killEntry ends an entry with its runs, and moves its items to the next one alive, which knows its pages.
func (m *harmModel) killEntry(index int) {
	e := m.entries[index]
	for _, item := range m.items {
		known := e.pages[item.id].Item
		for _, other := range m.entries {
			if other != e {
				known = max(known, other.rule.tracker.Get(m.now(), item.id).Item)
			}
		}
		item.lost += max(0, e.rule.tracker.Get(m.now(), item.id).Item-known)
		item.byChance = item.byChance || e.rule.byChance[item.id]
	}
	m.loseSilentEnds(index)
	for _, w := range m.watches {
		if w.run.item.entry == index && w.run.item.harm != harmless && m.servers[w.server].generation != w.started {
			w.run.item.lost++
		}
	}
	m.watches = slices.DeleteFunc(m.watches, func(w modelWatch) bool { return w.run.item.entry == index })
	e.deadTo = m.tick + modelTakeover
	e.rule = newModelRule()
	for _, s := range m.servers {
		s.runs = slices.DeleteFunc(s.runs, func(r *modelRun) bool { return r.item.entry == index })
	}
	next := (index + 1) % len(m.entries)
	m.entries[next].rule.merge(m.now(), e.pages)
	for _, item := range m.items {
		if item.entry == index && !item.done {
			item.running, item.output, item.entry, item.watched, item.blockedTo = false, item.paged, next, false, 0
		}
	}
}

// loseSilentEnds counts the silent servers that ended under runs of a killed entry, which didn't know yet.
func (m *harmModel) loseSilentEnds(entry int) {
	for _, s := range m.servers {
		for _, run := range s.runs {
			if s.silentAt > 0 && run.item.entry == entry {
				run.item.lost++
			}
		}
	}
}

func (m *harmModel) play() {
	for m.tick = 1; m.tick < modelDuration; m.tick++ {
		if index, killed := m.kills[m.tick]; killed {
			m.killEntry(index)
		}
		if m.tick == m.later {
			for _, item := range m.items {
				if !item.done && !item.running {
					item.entry, item.output, item.paged = (item.entry+1)%len(m.entries), 0, 0
				}
			}
		}
		m.playRuns()
		m.playTimers()
		m.chase()
		m.playWatches()
		for _, index := range m.random.Perm(len(m.servers))[:min(m.chance[m.tick], len(m.servers))] {
			m.endServer(index, false)
		}
		m.gossip()
		m.startItems()
	}
}

func (m *harmModel) releasedByChance(item *modelItem) bool {
	return item.byChance || slices.ContainsFunc(m.entries, func(e *modelEntry) bool { return e.rule.byChance[item.id] })
}

// excess returns how many ends the harmful items caused past the limit, and how many sound items were at no server for too long or haven't
// completed. Sound items whose last runs ended without progress are counted apart, as are harmful ones that end a fourth server beside ends by
// chance of all servers: what is known of both is the same.
func (m *harmModel) excess() (ends, idle, alike int) {
	for _, item := range m.items {
		switch {
		case item.harm != harmless:
			past := max(0, item.caused-item.lost-MaxServerEnds, item.later)
			if past == 1 && m.releasedByChance(item) {
				past, alike = 0, alike+1
			}
			ends += past
		case item.done && time.Duration(item.longest)*modelTick <= modelAtNoServer:
		case item.alike:
			alike++
		default:
			idle++
		}
	}
	return ends, idle, alike
}

// failed describes the items that break a bound.
func (m *harmModel) failed() []string {
	var failed []string
	for _, item := range m.items {
		broken := item.harm != harmless && (item.caused-item.lost > MaxServerEnds || item.later > 0) ||
			item.harm == harmless && (!item.done || time.Duration(item.longest)*modelTick > modelAtNoServer)
		if broken {
			failed = append(failed, fmt.Sprintf("%s harm %d at %d: caused %d, later %d, lost %d, sends %d, done %v, idle %v, entry %d, output %d, %s", item.id, item.harm, item.harmAt,
				item.caused, item.later, item.lost, item.sends, item.done, time.Duration(item.longest)*modelTick, item.entry, item.output, m.entries[item.entry].rule.describe(m.now(), item.id, len(m.servers))))
		}
	}
	return failed
}

const modelSeeds = 400

// Guards against harmful items that end more servers than the limit, and sound ones that are at no server, in drawn mixtures of both with ends
// by chance, several entries that are killed, and later jobs.
func TestServerEndLimitsHoldTogether(t *testing.T) {
	alike := 0
	for seed := range uint64(modelSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			m := newHarmModel(seed)
			m.play()
			ends, idle, same := m.excess()
			alike += same
			if ends > 0 || idle > 0 {
				t.Errorf("%s: %d ends past the limit, %d sound items idle for over %v: %v", m.name, ends, idle, modelAtNoServer, m.failed())
			}
		})
	}
	t.Logf("%d items of %d loads can't be told from others", alike, modelSeeds)
}

// Guards against harmful items that are sent after their third end, also if their servers end at a time after the run began although it was cut off,
// and against sound ones that are at no server although each of their first servers ended.
func TestItemsAreNotSentAfterTheThirdEnd(t *testing.T) {
	alike := 0
	for seed := range uint64(modelSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			m := newLateHarmModel(seed)
			m.play()
			ends, idle, same := m.excess()
			alike += same
			if ends > 0 || idle > 0 {
				t.Errorf("%s: %d ends or sends past the limit, %d sound items idle for over %v: %v", m.name, ends, idle, modelAtNoServer, m.failed())
			}
		})
	}
	t.Logf("%d items of %d loads can't be told from others", alike, modelSeeds)
}
