package batchjob

import (
	"context"
	"testing"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/backend"
	"github.com/oleandershelf/oleandershelf/internal/core/batch"
)

// countRefusals counts the servers as ended under the item because they refused connections.
func (p *unevenPool) countRefusals(j *job, now time.Time, item string, servers ...backend.Server) {
	for _, server := range servers {
		use := serverUse{item: item, server: server.Key(), address: server.Address, pool: server.Pool}
		p.balancer.RecordEnd(now, server.Key())
		p.countServerEnd(j, j.recordInterruption(now, use), evidenceRefused)
	}
}

// Guards against a sound item that is withheld because a network in front of its servers refused connections, and against one that ends its servers
// and is sent on because their registrations outlive them.
func TestRefusedEndsAreTakenBackOnlyFromLivingServers(t *testing.T) {
	for _, test := range []struct {
		name string
		// change happens after the servers were counted.
		change func(p *unevenPool, j *job, now time.Time)
		after  time.Duration
		ends   int
	}{
		{name: "accept connections again", after: endConfirmTime, ends: batch.MaxServerEnds - 2},
		{name: "before the registration could have expired", after: endConfirmTime / 2, ends: batch.MaxServerEnds},
		{name: "answered", change: func(p *unevenPool, _ *job, now time.Time) {
			p.balancer.RecordLoad(now.Add(2*lateAnswerTime), "fast", backend.LoadReport{})
		}, after: 2 * lateAnswerTime, ends: batch.MaxServerEnds - 1},
		{name: "answer read late", change: func(p *unevenPool, _ *job, now time.Time) {
			p.balancer.RecordLoad(now.Add(lateAnswerTime/2), "fast", backend.LoadReport{})
		}, after: 2 * lateAnswerTime, ends: batch.MaxServerEnds},
		{name: "restarted", change: func(p *unevenPool, _ *job, now time.Time) { p.restartServers(now) }, after: endConfirmTime, ends: batch.MaxServerEnds},
		{name: "answered and then restarted", change: func(p *unevenPool, j *job, now time.Time) {
			p.balancer.RecordLoad(now.Add(2*lateAnswerTime), "fast", backend.LoadReport{})
			p.reviewRefusedEnds(context.Background(), now.Add(2*lateAnswerTime), j)
			p.restartServers(now)
		}, after: endConfirmTime, ends: batch.MaxServerEnds},
		{name: "outage of the store", change: func(p *unevenPool, _ *job, _ time.Time) {
			p.outage = func(time.Time) bool { return true }
		}, after: endConfirmTime, ends: batch.MaxServerEnds},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newUnevenPool(t.Context(), t)
			j := newPlacedJob("j", "a")
			now := time.Now()
			// The first two servers run; nothing listens at the address of the third one.
			servers := p.balancer.Servers()[:batch.MaxServerEnds]
			p.countRefusals(j, now, "a", servers...)
			if !j.progress.IsWithheld("a") {
				t.Fatal("not withheld after three refusals")
			}
			if test.change != nil {
				test.change(p, j, now)
			}
			p.reviewRefusedEnds(t.Context(), now.Add(test.after), j)
			j.wg.Wait()
			left, _ := j.progress.ServerEnds("a").Uncleared()
			known, _ := p.serverEnds.Get(now, "a").Uncleared()
			if left != test.ends || known != test.ends {
				t.Errorf("%d ends count here and %d in other jobs, want %d", left, known, test.ends)
			}
			if withheld := j.progress.IsWithheld("a"); withheld != (test.ends == batch.MaxServerEnds) {
				t.Errorf("withheld: %v", withheld)
			}
		})
	}
}

// Guards against an end that is taken back twice, or after a run of the item has survived.
func TestEndsAreTakenBackOnce(t *testing.T) {
	p := newUnevenPool(t.Context(), t)
	j := newPlacedJob("j", "a")
	now := time.Now()
	servers := p.balancer.Servers()
	p.countRefusals(j, now, "a", servers[0])
	p.clearServerEnds(j, "a", false)
	p.countRefusals(j, now, "a", servers[1])
	for range 3 {
		p.reviewRefusedEnds(t.Context(), now.Add(endConfirmTime), j)
		j.wg.Wait()
	}
	if left, _ := j.progress.ServerEnds("a").Uncleared(); left != 0 {
		t.Errorf("%d ends count, want none", left)
	}
	j.progress.RecordServerEnd("a", batch.EndedRun{Server: 7})
	p.reviewRefusedEnds(t.Context(), now.Add(2*endConfirmTime), j)
	j.wg.Wait()
	if left, _ := j.progress.ServerEnds("a").Uncleared(); left != 1 {
		t.Errorf("%d ends count after another server ended, want 1", left)
	}
	p.countRefusals(j, now, "a", servers[1])
	if left, _ := j.progress.ServerEnds("a").Uncleared(); left != 2 {
		t.Errorf("%d ends count after the server ended whose end was taken back, want 2", left)
	}
}

// Guards against the end of a server long after a refusal that counts for an item which ran there before it.
func TestRetractedEndDoesNotCountLater(t *testing.T) {
	p := newUnevenPool(t.Context(), t)
	j := newPlacedJob("j", "a")
	now := time.Now()
	p.countRefusals(j, now, "a", p.balancer.Servers()[0])
	for range 2 {
		p.reviewRefusedEnds(t.Context(), now.Add(endConfirmTime), j)
		j.wg.Wait()
	}
	p.restartServers(now.Add(time.Minute))
	p.reviewRefusedEnds(t.Context(), now.Add(time.Minute), j)
	if left, _ := j.progress.ServerEnds("a").Uncleared(); left != 0 {
		t.Errorf("%d ends count, want none", left)
	}
}
