package delivery

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against a trainer that gets a sample twice, misses one, or gets a stale one. Coordinators die, pause
// and keep believing that they hold the lease; answers of the platform are lost or delayed; the platform is down
// for a while; and new model versions race with deliveries. The failure arises when two coordinators, or one
// and its successor, change the same job from different knowledge of its state.
func TestEverySampleIsDeliveredOnce(t *testing.T) {
	cases := []struct {
		name      string
		useCursor bool
		outages   bool
	}{
		{name: "without a cursor", outages: true},
		{name: "with the cursor", useCursor: true, outages: true},
		{name: "with the cursor and no outage", useCursor: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := newSimulation(t, c.useCursor)
				for range rapid.IntRange(0, 2).Draw(t, "rounds before") {
					s.serveRequest(0)
					s.advanceAllSamples(0, 0)
				}
				t.Repeat(s.actions(c.outages))
				s.recoverAndFinish()
			})
		})
	}
}

// actions returns the steps of a random schedule. The failures saved in testdata select actions by the order
// of their names, so a renamed or added action changes what these runs replay.
func (s *simulation) actions(outages bool) map[string]func(*rapid.T) {
	pickCoordinator := func(t *rapid.T) int { return rapid.IntRange(0, len(s.coordinators)-1).Draw(t, "coordinator") }
	actions := map[string]func(*rapid.T){
		"ask": func(t *rapid.T) { s.sendRequest(pickCoordinator(t)) },
		"askTwice": func(*rapid.T) {
			s.sendRequest(0)
			s.sendRequest(1)
		},
		"askAgain": func(t *rapid.T) { s.repeatBatchRequest(pickCoordinator(t)) },
		"round1":   func(t *rapid.T) { s.serveRequest(pickCoordinator(t)) },
		"round2":   func(t *rapid.T) { s.serveRequest(pickCoordinator(t)) },
		"round3":   func(t *rapid.T) { s.serveRequest(pickCoordinator(t)) },
		"workAll1": func(t *rapid.T) { s.advanceAllSamples(pickCoordinator(t), s.record.ModelVersion) },
		"workAll2": func(t *rapid.T) { s.advanceAllSamples(pickCoordinator(t), s.record.ModelVersion) },
		"read":     func(t *rapid.T) { s.completeRead(pickCoordinator(t)) },
		"write": func(t *rapid.T) {
			fault := rapid.SampledFrom([]writeFault{faultNone, faultNone, faultNone, faultAnswerLost, faultDelayed, faultUnsent}).Draw(t, "fault")
			s.completeWrite(pickCoordinator(t), fault)
		},
		"late": func(*rapid.T) { s.applyDelayedWrite() },
		"tick": func(t *rapid.T) { s.handle(pickCoordinator(t), Ticked{}) },
		"take": func(t *rapid.T) {
			if s.platformUp {
				s.acquireLease(pickCoordinator(t))
			}
		},
		"renew": func(t *rapid.T) {
			if s.platformUp {
				s.renewLease(pickCoordinator(t))
			}
		},
		"learn": func(*rapid.T) { s.announceOutage() },
		"cut": func(t *rapid.T) {
			c := s.coordinators[pickCoordinator(t)]
			c.disconnected = !c.disconnected
		},
		"lapse": func(t *rapid.T) { s.handle(pickCoordinator(t), LeaseChanged{}) },
		"kill": func(t *rapid.T) {
			index := pickCoordinator(t)
			if write := s.coordinators[index].write; write != nil && rapid.Bool().Draw(t, "sent") {
				s.delayedWrites = append(s.delayedWrites, delayedWrite{s.coordinators[index], write.Record, write.IfVersion})
			}
			s.coordinators[index] = s.newCoordinator()
		},
		"expire": func(t *rapid.T) { s.handle(pickCoordinator(t), RequestExpired{ID: s.lastRequest}) },
		"receive": func(t *rapid.T) {
			if len(s.replies) > 0 {
				s.receive(rapid.IntRange(0, len(s.replies)-1).Draw(t, "reply"))
			}
		},
		"dropReply": func(*rapid.T) {
			if len(s.replies) > 0 {
				s.replies = s.replies[1:]
			}
		},
		"version": func(t *rapid.T) { s.postVersion(pickCoordinator(t), s.record.ModelVersion+1) },
	}
	for _, name := range []string{"work1", "work2", "work3"} {
		actions[name] = func(t *rapid.T) {
			index := pickCoordinator(t)
			for range rapid.IntRange(1, 20).Draw(t, "stages") {
				version := max(0, s.record.ModelVersion-rapid.IntRange(0, 1).Draw(t, "lag"))
				s.advanceSample(index, rapid.IntRange(0, 30).Draw(t, "pick"), version)
			}
		}
	}
	if outages {
		actions["outage"] = func(t *rapid.T) {
			s.platformUp = !s.platformUp
			s.outages++
			if rapid.IntRange(0, 3).Draw(t, "known at once") > 0 {
				s.announceOutage()
			}
		}
		actions["outageRounds"] = func(t *rapid.T) {
			s.platformUp = false
			s.outages++
			s.announceOutage()
			index := pickCoordinator(t)
			for range rapid.IntRange(1, 3).Draw(t, "rounds") {
				s.serveRequest(index)
				s.advanceAllSamples(index, s.record.ModelVersion)
			}
		}
	}
	return actions
}
