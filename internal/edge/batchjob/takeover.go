package batchjob

import (
	"context"
	"time"

	"github.com/oleandershelf/oleandershelf/internal/core/batch"
	"github.com/oleandershelf/oleandershelf/internal/edge/gossip"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// load reads a job with all its pages, and has it run if no entry is known to. No organisation stands for the system itself.
func (m *Manager) load(ctx context.Context, id, organisation string) (*job, error) {
	j, err := m.read(ctx, id, organisation)
	if err != nil || j.over() {
		return j, err
	}
	if _, owned := m.ownerBut(j.spec, m.members.Self().HostID); owned {
		return j, nil
	}
	if m.home(j.spec).HostID == m.members.Self().HostID {
		return m.takeHere(j, nil), nil
	}
	// Entries that each know nobody who runs the job agree on its home, which may well run it already.
	m.begin(j.spec, nil)
	return j, nil
}

// take reads a job and runs it here, unless an entry that is known to run it says so itself.
//
// Guard: an entry was known to run a job and doesn't any more. The one that is asked to run it believed so, agreed, and nobody ran it.
func (m *Manager) take(ctx context.Context, q RunRequest) error {
	j, err := m.read(ctx, q.Job, q.Organisation)
	if err != nil || j.over() {
		return err
	}
	owner, owned := m.ownerBut(j.spec, q.From)
	if owned && !q.Sure && m.askRun(ctx, owner, q) {
		return nil
	}
	m.takeHere(j, q.Partials)
	return nil
}

// askRun has an entry that is known to run a job say so, or run it. If it doesn't answer it isn't taken for the job's owner any more.
func (m *Manager) askRun(ctx context.Context, owner gossip.Member, q RunRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	q.From = m.members.Self().HostID
	q.Sure = true
	_, err := peer.Ask[RunRequest, RunAnswer](ctx, m.peers, owner.Address, MethodRun, q)
	if err != nil {
		m.log.Info().Err(err).Str("request", q.Job).Str("entry", owner.HostID).Msg("entry doesn't run the job that it was known to run")
		m.forgetOwner(q.Job, owner.HostID)
	}
	return err == nil
}

// ownerBut returns the living entry that stays, other than except, that is known to run the job or was given it a moment ago.
//
// Guard: an entry that is killed right after it was given a job is back at once, and knows nothing of it. Taken for its owner by its name it
// was left to run the job for two seconds, in which nobody did.
func (m *Manager) ownerBut(spec *batch.Job, except string) (gossip.Member, bool) {
	if owner, ok := m.owner(spec.ID); ok && !owner.Leaving && owner.HostID != except {
		return owner, true
	}
	owner, ok := m.members.Find(time.Now(), spec.Owner)
	given := ok && !owner.Leaving && owner.HostID != except && owner.Incarnation == spec.OwnerRun
	return owner, given && time.Since(spec.Accepted) < ownerGrace
}

// takeHere runs a job here that another entry ran, or may still run. Given is what that one had received of unfinished items.
func (m *Manager) takeHere(j *job, given []batch.Partial) *job {
	if j.running() {
		return j
	}
	j.mu.Lock()
	j.progress.Resume(given)
	goOn := len(j.progress.Partials())
	j.mu.Unlock()
	m.log.Info().Str("request", j.spec.ID).Str("owner", j.spec.Owner).Int("given", len(given)).Int("itemsGoOn", goOn).Msg("batch job taken over")
	return m.runJob(j)
}

// ownerGrace is how long after an acceptance the accepting entry is given to say that it runs the job: some beats.
const ownerGrace = 2 * time.Second
