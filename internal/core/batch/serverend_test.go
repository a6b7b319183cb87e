package batch

import (
	"slices"
	"testing"
	"time"
)

// endServers records that servers ended under an item, one run after the other.
func endServers(p *Progress, id string, count int) {
	for range count {
		p.Start(id)
		p.RecordServerEnd(id, EndedRun{Last: 1})
		p.Requeue(id)
	}
}

// Guards against an item that ends server after server because its runs that break off count nowhere, and against one that is lost before
// its time.
func TestItemIsWithheldAfterServerEnds(t *testing.T) {
	for _, test := range []struct {
		name string
		// end records ends of servers under the item "0a".
		end      func(p *Progress)
		withheld bool
	}{
		{name: "below the limit", end: func(p *Progress) { endServers(p, "0a", MaxServerEnds-1) }},
		{name: "at the limit", end: func(p *Progress) { endServers(p, "0a", MaxServerEnds) }, withheld: true},
		{name: "found out while the item waits", withheld: true, end: func(p *Progress) {
			for range MaxServerEnds {
				p.RecordServerEnd("0a", EndedRun{Last: 1})
			}
		}},
		{name: "known from another job", withheld: true, end: func(p *Progress) {
			p.MergeServerEnds(func(string) ServerEnds { return ServerEnds{Item: MaxServerEnds} })
			p.items["0b"].phase, p.items["1a"].phase, p.items["1b"].phase = phaseWaiting, phaseWaiting, phaseWaiting
		}},
		{name: "known from a page", withheld: true, end: func(p *Progress) {
			former := NewProgress(newTestJob(2, 1), 2)
			endServers(former, "0a", MaxServerEnds)
			p.ApplyPage(Page{Partials: former.Partials()})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := NewProgress(newTestJob(2, 1), 1)
			test.end(p)
			if p.IsWaiting("0a") == test.withheld {
				t.Errorf("waits: %v", p.IsWaiting("0a"))
			}
			for item, ok := p.Next(); ok; item, ok = p.Next() {
				if item.ID == "0a" && test.withheld {
					t.Fatal("a withheld item is to run next")
				}
				p.Start(item.ID)
			}
			p.Expire(start.Add(30 * time.Second))
			if p.items["0a"].phase == phaseDone {
				t.Error("the item has a result before its time is up")
			}
			p.Expire(p.Job().ExpiresAt())
			if got := p.items["0a"].result.State; got != StateLost {
				t.Errorf("state %q after the job's time", got)
			}
		})
	}
}

// Guards against a reward call that ends the servers that run it.
func TestRewardCallIsWithheldAfterServerEnds(t *testing.T) {
	job := newTestJob(1, 1)
	job.Items[0].Reward = &RewardCall{ID: "r"}
	p := NewProgress(job, 1)
	finishItem(t, p, start, "0a")
	for range MaxServerEnds {
		if _, _, ok := p.NextReward(start); !ok {
			t.Fatal("the reward call was withheld too early")
		}
		p.StartReward("0a")
		p.RecordServerEnd("0a", EndedRun{Reward: true})
		failReward(p, start, "0a", 0, 2)
	}
	if _, _, ok := p.NextReward(start); ok {
		t.Error("the reward call is to be sent after three servers ended under it")
	}
	successor := NewProgress(job, 2)
	successor.Resume(p.Partials())
	if output := successor.Start("0a"); output.LastEvent == 0 {
		t.Error("the text was lost")
	}
	successor.RecordCompletion(start, "0a")
	if _, _, ok := successor.NextReward(start); ok {
		t.Error("the entry that took the job over sends the reward call again")
	}
}

// Guards against a suspect that keeps all other items from running while it can't run itself, and against one that loses its place.
func TestItemThatIsPassedOverKeepsItsPlace(t *testing.T) {
	p := NewProgress(newTestJob(2, 2), 1)
	endServers(p, "0a", MaxServerEnds-1)
	if !p.Suspect("0a") || p.Suspect("0b") {
		t.Fatal("only the item under which servers ended is a suspect")
	}
	passedOver := map[string]bool{"0a": true}
	var order []string
	for item, ok := p.NextExcept(passedOver); ok; item, ok = p.NextExcept(passedOver) {
		if next, ok := p.Next(); !ok || next.ID != "0a" {
			t.Fatalf("the next item is %v after %v", next, order)
		}
		order = append(order, item.ID)
		p.Start(item.ID)
	}
	if len(order) != 3 || slices.Contains(order, "0a") {
		t.Errorf("order %v", order)
	}
	p.Start("0a")
	if next, ok := p.Next(); ok {
		t.Errorf("%s waits after all items were started", next.ID)
	}
}

// Guards against items that explain one another's ends, against those that ran into the same event again and are sent on, and against sound
// ones that are withheld because servers of the whole pool end.
func TestMayRunAgain(t *testing.T) {
	quiet, some, wave := PoolEnds{Ended: 3, Running: 9}, PoolEnds{Ended: 8, ByChance: 2, Running: 9}, PoolEnds{Ended: 24, ByChance: 18, Running: 9}
	for _, test := range []struct {
		name string
		ends ServerEnds
		// quiet, some and wave are whether the item may run again after no ends by chance, some, and two of each server.
		quiet, some, wave bool
	}{
		{name: "each run stalled", ends: ServerEnds{Item: 3, Stalled: 3}},
		{name: "only the first run made progress", ends: ServerEnds{Item: 3, Stalled: 2, Least: 4}, wave: true},
		{name: "three runs made no progress", ends: ServerEnds{Item: 4, Stalled: 3, Least: 4}},
		{name: "the last run made no progress", ends: ServerEnds{Item: 3, Stalled: 1, Least: 4}, wave: true},
		{name: "each run made progress", ends: ServerEnds{Item: 3, Least: 4}, wave: true},
		{name: "the servers ended after like times", ends: ServerEnds{Item: 3, Least: 4, Shortest: time.Second, Longest: time.Second}, wave: true},
		{name: "the last server ended before the limit of a short run", ends: ServerEnds{Item: 3, Early: 1, Least: 4}, quiet: true, some: true, wave: true},
		{name: "two servers ended before that", ends: ServerEnds{Item: 4, Early: 2, Least: 4}, wave: true},
		{name: "a short run ended its server", ends: ServerEnds{Item: 4, Least: 2}, wave: true},
		{name: "two short runs ended their servers", ends: ServerEnds{Item: 5, Least: 1}},
		{name: "three short runs ended their servers", ends: ServerEnds{Item: 6, Least: 1}},
		{name: "many short runs ended their servers", ends: ServerEnds{Item: 10, Least: 1}},
		{name: "reward call", ends: ServerEnds{Reward: 3}},
		{name: "reward call of an item whose ends were cleared", ends: ServerEnds{Item: 5, ItemCleared: 5, Reward: 3}},
		{name: "below the limit since a run survived", ends: ServerEnds{Item: 5, ItemCleared: 3, Stalled: 2}, quiet: true, some: true, wave: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			for pool, want := range map[PoolEnds]bool{quiet: test.quiet, some: test.some, wave: test.wave} {
				if got := test.ends.MayRunAgain(pool); got != want {
					t.Errorf("%+v: %v, want %v", pool, got, want)
				}
			}
		})
	}
}

// Guards against a third run that reaches the event or the time at which the runs before ended their servers.
func TestRunLimitIsBelowTheRunsThatEnded(t *testing.T) {
	for events, want := range map[int]int{1: 1, 2: 1, 3: 1, 6: 3, 40: 20} {
		var ends ServerEnds
		for i := range MaxServerEnds {
			if limit := ends.RunLimit(PoolEnds{}); (limit != RunLimit{}) != (i >= suspectServerEnds) {
				t.Errorf("limit %v after %d ends", limit, i)
			}
			ends.add(EndedRun{From: i * 50, Last: i*50 + events + i, Lasted: time.Duration(i+1) * time.Second})
		}
		if got := ends.RunLimit(PoolEnds{}); got != (RunLimit{Events: want, Time: time.Second / 2}) {
			t.Errorf("after %d events: limit %v, want %d events and half of the shortest time", events, got, want)
		}
	}
}

// Guards against a wave in which all items with two ends have short runs, and against an item whose servers end after like times and that has a whole one.
func TestThirdRunIsWholeOnlyIfChanceAccountsForTheEnds(t *testing.T) {
	wave := PoolEnds{Ended: 20, ByChance: 18, Running: 9}
	for _, test := range []struct {
		name    string
		longest time.Duration
		pool    PoolEnds
		whole   bool
	}{
		{name: "quiet pool", longest: 2 * time.Second},
		{name: "wave", longest: 2 * time.Second, pool: wave, whole: true},
		{name: "wave, after like times", longest: 1100 * time.Millisecond, pool: wave},
	} {
		ends := ServerEnds{Item: 2, Least: 4, Most: 6, Shortest: time.Second, Longest: test.longest}
		if limit := ends.RunLimit(test.pool); (limit == RunLimit{}) != test.whole {
			t.Errorf("%s: limit %+v", test.name, limit)
		}
	}
}

// Guards against an end by chance in a short run that counts like those of a harmful item, and against one of these that doesn't count.
func TestEndsBeforeTheLimitOfAShortRunAreEarly(t *testing.T) {
	for _, test := range []struct {
		name  string
		run   EndedRun
		early int
	}{
		{name: "before the limit", run: EndedRun{From: 20, Last: 21, Lasted: 300 * time.Millisecond, Short: true}, early: 1},
		{name: "before its first event", run: EndedRun{From: 20, Last: 20, Lasted: 300 * time.Millisecond, Short: true}, early: 1},
		{name: "after half of the time", run: EndedRun{From: 20, Last: 21, Lasted: 600 * time.Millisecond, Short: true}},
		{name: "cut off", run: EndedRun{From: 20, Last: 21, Lasted: 300 * time.Millisecond, Short: true, CutOff: true}},
		{name: "a whole run", run: EndedRun{From: 20, Last: 21, Lasted: 300 * time.Millisecond}},
	} {
		var ends ServerEnds
		ends.add(EndedRun{From: 0, Last: 10, Lasted: time.Second})
		ends.add(EndedRun{From: 10, Last: 20, Lasted: time.Second})
		ends.add(test.run)
		if ends.Early != test.early || ends.Item != MaxServerEnds {
			t.Errorf("%s: %+v, want %d early ends", test.name, ends, test.early)
		}
	}
}

// Guards against an end that counts twice, and against ends at two entries of which only the higher count remains.
func TestMergeCountsEachServerOnce(t *testing.T) {
	id := func(server string) EndID { return NewEndID(server, start, false) }
	var a, b ServerEnds
	a.add(EndedRun{Server: id("s1")})
	a.add(EndedRun{Server: id("s1")})
	a.add(EndedRun{Server: id("s2"), Last: 2})
	b.add(EndedRun{Server: id("s2"), Last: 2})
	b.add(EndedRun{Server: id("s3")})
	b.add(EndedRun{Server: NewEndID("s3", start, true), Reward: true})
	for _, merged := range []ServerEnds{a.Merge(b), b.Merge(a), a.Merge(b).Merge(a).Merge(b)} {
		if merged.Item != 3 || merged.Reward != 1 {
			t.Errorf("merged %+v, want three servers and one", merged)
		}
	}
	unnamed := ServerEnds{Item: 2}
	if merged := unnamed.Merge(b); merged.Item != 2 {
		t.Errorf("merged with unnamed ends: %+v, want 2", merged)
	}
}

// Guards against an item that is withheld for good because servers ended under it, and against one that ends more than one server after
// each release.
func TestWithheldItemIsReleasedForIsolatedRun(t *testing.T) {
	p := NewProgress(newTestJob(2, 1), 1)
	now := start
	endServers(p, "0a", MaxServerEnds)
	for range 3 {
		if !slices.Equal(p.WithheldItems(), []string{"0a"}) {
			t.Fatalf("withheld: %v", p.WithheldItems())
		}
		now = now.Add(time.Minute)
		p.ReleaseForIsolatedRun(now, "0a")
		if item, ok := p.Next(); !ok || item.ID != "0a" {
			t.Fatal("the released item doesn't run next")
		}
		if !p.NeedsIdleServer(now, "0a") || p.NeedsIdleServer(now.Add(idleServerWait), "0a") {
			t.Error("an idle server is needed for the first moments only")
		}
		p.Start("0a")
		p.Requeue("0a")
		if !p.IsWaiting("0a") {
			t.Error("withheld again although no server ended")
		}
		endServers(p, "0a", 1)
	}
	p.ClearServerEnds("0a", false)
	if !p.IsWaiting("0a") || p.Suspect("0a") {
		t.Error("still a suspect once its ends are explained")
	}
}

// Guards against a reward call that is withheld for good, and against the text of its item, which is complete, being generated again.
func TestWithheldRewardCallIsReleased(t *testing.T) {
	job := newTestJob(1, 1)
	job.Items[0].Reward = &RewardCall{ID: "r"}
	former := NewProgress(job, 1)
	finishItem(t, former, start, "0a")
	for range MaxServerEnds {
		former.StartReward("0a")
		former.RecordServerEnd("0a", EndedRun{Reward: true})
		failReward(former, start, "0a", 0, 2)
	}
	successor := NewProgress(job, 2)
	successor.Resume(former.Partials())
	for name, p := range map[string]*Progress{"the same entry": former, "a successor": successor} {
		t.Run(name, func(t *testing.T) {
			if _, _, ok := p.NextReward(start); ok || !p.IsWithheld("0a") {
				t.Fatal("the reward call is not withheld")
			}
			p.ReleaseForIsolatedRun(start, "0a")
			if item, _, ok := p.NextReward(start); !ok || item.ID != "0a" {
				t.Fatal("the reward call was not released")
			}
			p.StartReward("0a")
			p.RecordScore(start, "0a", "s")
			if got := p.items["0a"].result; got.State != StateCompleted || got.Score != "s" || got.Text == "" {
				t.Errorf("result %+v", got)
			}
		})
	}
}

// Guards against the output of a withheld item being lost with the entry that received it.
func TestWithheldItemKeepsItsOutput(t *testing.T) {
	former := NewProgress(newTestJob(1, 1), 1)
	former.Start("0a").Append(Event{Number: 1, Data: "x"}, 1)
	former.Requeue("0a")
	endServers(former, "0a", MaxServerEnds)
	successor := NewProgress(newTestJob(1, 1), 2)
	successor.Resume(former.Partials())
	successor.ReleaseForIsolatedRun(start, "0a")
	if output := successor.Start("0a"); output.LastEvent != 1 {
		t.Errorf("resumes after event %d", output.LastEvent)
	}
}

// Guards against a suspect that waits for as long as others run, and against one that shares a server after each of its runs.
func TestSuspectKeepsApartForALimitedTime(t *testing.T) {
	p := NewProgress(newTestJob(2, 1), 1)
	endServers(p, "0a", suspectServerEnds)
	now := start
	for range 2 {
		if !p.KeepsApart(now, "0a") || !p.KeepsApart(now.Add(suspectWait-1), "0a") || p.KeepsApart(now.Add(suspectWait), "0a") {
			t.Error("the suspect doesn't keep apart for the time, or longer")
		}
		p.Start("0a")
		now = now.Add(time.Minute)
		if !p.KeepsApart(now, "0a") {
			t.Error("a suspect that runs may move to another one")
		}
		p.Requeue("0a")
	}
	if p.KeepsApart(now, "0b") {
		t.Error("an item that is no suspect keeps apart")
	}
}

// Guards against an item that was withheld and then, once released, waits as long for a server without suspects as one that was not.
func TestWithheldTimeCountsForSuspects(t *testing.T) {
	p := NewProgress(newTestJob(2, 1), 1)
	endServers(p, "0a", MaxServerEnds)
	endServers(p, "0b", MaxServerEnds)
	p.ReviewWithheld(start)
	explainedAt := start.Add(2 * time.Second)
	p.ReviewWithheld(explainedAt)
	p.MergeItemServerEnds("0a", ServerEnds{ItemCleared: 1})
	p.ReleaseForIsolatedRun(explainedAt, "0b")
	if !p.IsWaiting("0a") || !p.IsWaiting("0b") {
		t.Fatal("the items don't wait")
	}
	if !p.KeepsApart(explainedAt, "0a") || p.KeepsApart(start.Add(suspectWait), "0a") {
		t.Error("the time for which the explained item was withheld doesn't count")
	}
	isolated := explainedAt.Add(idleServerWait)
	if !p.KeepsApart(isolated, "0b") || p.KeepsApart(explainedAt.Add(suspectWait-idleServerWait), "0b") {
		t.Error("the released item doesn't keep apart after it needed an idle server, or for too long")
	}
}
