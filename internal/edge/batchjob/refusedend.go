package batchjob

import (
	"context"
	"time"
)

// endEvidence is what an end of a server was counted for.
type endEvidence string

const (
	// evidenceRegistration: the server's registration was removed or replaced.
	evidenceRegistration endEvidence = "registration"
	// evidenceRefused: the server refused a connection or closed it at once. So does a network that is cut, so that the end is taken back if the
	// server turns out to be alive.
	evidenceRefused endEvidence = "connectionRefused"
)

const (
	// lateAnswerTime is how long after a refusal what the server sent before may still be read here.
	lateAnswerTime = time.Second
	// refusalCheckInterval is the time between probes of a server that goes on to refuse connections and to be registered.
	refusalCheckInterval = time.Second
)

// refusedEnd is the end of a server that was counted because it refused a connection.
type refusedEnd struct {
	interruptedRun

	// checkAt is when the server is probed again if its registration hasn't told by then.
	checkAt  time.Time
	checking bool
	// retracted is set once the end was taken back. It counts again if the registration is removed or replaced before checkAt. After that it is
	// settled, and kept because a later end of the same run of the server must count although its identity is known.
	retracted, settled bool
}

// reviewRefusedEnds confirms the ends that were counted because of refusals by the servers' registrations, and takes those back whose servers have
// answered since, or accept connections again once the registration of an ended one would have been removed.
func (m *Manager) reviewRefusedEnds(ctx context.Context, now time.Time, j *job) {
	outage := m.outage(now)
	var ended, alive, unknown []*refusedEnd
	j.mu.Lock()
	for use, end := range j.refusedEnds {
		switch {
		case end.settled:
		case !m.balancer.Registered(end.server):
			if end.retracted {
				ended = append(ended, end)
			} else {
				delete(j.refusedEnds, use)
			}
		case outage:
			end.checkAt = now.Add(endConfirmTime)
		case !end.retracted && m.balancer.AnsweredAfter(end.server, end.at.Add(lateAnswerTime)):
			alive = append(alive, end)
		case now.Before(end.checkAt) || end.checking:
		case end.retracted:
			end.settled = true
		default:
			end.checking = true
			unknown = append(unknown, end)
		}
	}
	j.mu.Unlock()
	for _, end := range ended {
		m.countServerEnd(j, end.interruptedRun, evidenceRegistration)
	}
	for _, end := range alive {
		m.retractServerEnd(j, end, "answer")
	}
	for _, end := range unknown {
		j.wg.Go(func() { m.checkRefusedEnd(ctx, j, end) })
	}
}

// checkRefusedEnd probes a server again that is still registered.
func (m *Manager) checkRefusedEnd(ctx context.Context, j *job, end *refusedEnd) {
	if err := m.probes.probe(ctx, end.address); err == nil {
		m.retractServerEnd(j, end, "connection")
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	end.checking = false
	end.checkAt = time.Now().Add(refusalCheckInterval)
}

// retractServerEnd takes an end back, unless it has been confirmed, cleared or counted anew since.
func (m *Manager) retractServerEnd(j *job, end *refusedEnd, evidence string) {
	now := time.Now()
	j.mu.Lock()
	if j.refusedEnds[end.identity()] != end || end.retracted {
		j.mu.Unlock()
		return
	}
	end.retracted, end.checking = true, false
	delete(j.endedUnder, end.identity())
	j.progress.RetractServerEnd(end.item, end.reward)
	left := j.progress.ServerEnds(end.item)
	withheld := j.progress.IsWithheld(end.item)
	j.mu.Unlock()
	m.balancer.RetractEnd(end.server)
	m.serverEnds.Retract(now, end.item, end.reward, left)
	m.log.Info().Str("request", j.spec.ID).Str("item", end.item).Str("server", end.server.ID).Bool("reward", end.reward).Str("evidence", evidence).
		Bool("withheld", withheld).Object("counts", endCounts(left)).Dur("after", now.Sub(end.at)).Msg("server is alive that was counted as ended")
	j.wake()
}
