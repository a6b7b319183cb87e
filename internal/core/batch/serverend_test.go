package batch

import (
	"testing"
	"time"
)

// endServers records that servers ended under an item, one run after the other.
func endServers(p *Progress, id string, count int) {
	for range count {
		p.Start(id)
		p.RecordServerEnd(id)
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
				p.RecordServerEnd("0a")
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
		p.RecordRewardServerEnd("0a")
		p.RecordUnscored(start, "0a", 0, 2)
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

// Guards against a suspect that keeps all other items from running while it can't run itself.
func TestPostponedItemRunsLast(t *testing.T) {
	p := NewProgress(newTestJob(2, 2), 1)
	endServers(p, "0a", MaxServerEnds-1)
	if !p.Suspect("0a") || p.Suspect("0b") {
		t.Fatal("only the item under which servers ended is a suspect")
	}
	var order []string
	for item, ok := p.Next(); ok; item, ok = p.Next() {
		if item.ID == "0a" && len(order) == 0 {
			p.Postpone("0a")
			order = append(order, "postponed")
			continue
		}
		order = append(order, item.ID)
		p.Start(item.ID)
	}
	if len(order) != 5 || order[0] != "postponed" || order[4] != "0a" {
		t.Errorf("order %v", order)
	}
}
