package batchjob

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// homeTime bounds the question to the home of a model whether it runs a job; entries answer within milliseconds, and a trainer waits.
const homeTime = 700 * time.Millisecond

// home returns the entry that is to run a job: this one, unless it leaves, or another that is heard of.
func (m *Manager) home(spec *batch.Job) gossip.Member {
	return m.chooseEntry(func(runners []batch.Runner) (string, bool) {
		return batch.Home(spec.ID, spec.Model, m.demand(), runners)
	})
}

// storeReader returns the entry that loads a job from the store on behalf of all entries.
func (m *Manager) storeReader(id string) gossip.Member {
	return m.chooseEntry(func(runners []batch.Runner) (string, bool) { return batch.StoreReader(id, runners) })
}

// chooseEntry calls pick with the entries that are not leaving and returns the one that it selects, or this one if it selects none.
func (m *Manager) chooseEntry(pick func(runners []batch.Runner) (string, bool)) gossip.Member {
	self := m.members.Self()
	var runners []batch.Runner
	if !m.isLeaving() {
		runners = append(runners, batch.Runner{HostID: self.HostID, Cores: self.Cores})
	}
	members := map[string]gossip.Member{}
	for _, member := range m.members.Alive(time.Now()) {
		if !member.Leaving {
			members[member.HostID] = member
			runners = append(runners, batch.Runner{HostID: member.HostID, Cores: member.Cores})
		}
	}
	chosen, _ := pick(runners)
	if member, ok := members[chosen]; ok {
		return member
	}
	return self
}

func (m *Manager) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// begin has an accepted job run: by its model's home, or here if that is this entry or doesn't answer. Fresh is the job as the
// store keeps it if it was accepted just now, so that no page of it exists.
func (m *Manager) begin(spec *batch.Job, fresh []byte) {
	home := m.home(spec)
	if home.HostID == m.members.Self().HostID {
		m.beginHere(spec, fresh)
		return
	}
	m.noteOwner(spec.ID, home.HostID)
	m.work.Go(func() {
		ctx, cancel := context.WithTimeout(m.ctx, homeTime)
		defer cancel()
		q := m.runRequest(spec)
		q.Fresh = fresh
		_, err := peer.Ask[RunRequest, RunAnswer](ctx, m.peers, home.Address, MethodRun, q)
		m.log.Info().Str("request", spec.ID).Str("entry", home.HostID).Str("model", spec.Model).AnErr("answer", err).Msg("batch job given to its model's home")
		if err != nil {
			m.forgetOwner(spec.ID, home.HostID)
			m.beginHere(spec, fresh)
		}
	})
}

// beginHere runs an accepted job here. One that may have pages is read from the store first.
func (m *Manager) beginHere(spec *batch.Job, fresh []byte) {
	if fresh != nil {
		m.run(spec)
		return
	}
	m.work.Go(func() {
		ctx, cancel := context.WithTimeout(m.ctx, handoverTime)
		defer cancel()
		if err := m.take(ctx, m.runRequest(spec)); err != nil {
			m.log.Warn().Err(err).Str("request", spec.ID).Msg("accepted batch job not begun")
		}
	})
}

// runRequest asks another entry to run a job.
func (m *Manager) runRequest(spec *batch.Job) RunRequest {
	return RunRequest{Job: spec.ID, Organisation: spec.Organisation, From: m.members.Self().HostID}
}

// runFor runs a job for another entry that accepted it or leaves it.
//
// Guard: a leaving entry hands its jobs over before news of its leaving has come here. Taken for one that stays and runs the job, it was
// left to run it, and the job stood still for more than a second until somebody asked for results.
func (m *Manager) runFor(ctx context.Context, q RunRequest) error {
	if j, ok := m.find(q.Job); ok && j.running() {
		return nil
	}
	if m.isLeaving() {
		return errors.Errorf("job %s: this entry is leaving", q.Job)
	}
	if q.Fresh == nil {
		return m.take(ctx, q)
	}
	var spec batch.Job
	if err := json.Unmarshal(q.Fresh, &spec); err != nil {
		return errors.Wrapf(err, "job %s", q.Job)
	}
	m.run(&spec)
	return nil
}
