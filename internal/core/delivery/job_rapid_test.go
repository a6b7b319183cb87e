package delivery

import (
	"testing"

	"pgregory.net/rapid"
)

// Users see: a trainer learns from a sample twice, misses one, or gets one made by weights that are
// too old. Order: coordinators die, pause and believe on in their lease, answers of the platform are
// lost or late, it is down for a while, and new model versions race deliveries. Cause: two
// coordinators, or one and its successor, move the same job from different knowledge.
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
				w := newWorld(t, c.useCursor)
				for range rapid.IntRange(0, 2).Draw(t, "rounds before") {
					w.round(0)
					w.workAll(0, 0)
				}
				t.Repeat(w.actions(c.outages))
				w.heal()
			})
		})
	}
}

// actions are the moves of a random schedule.
func (w *world) actions(outages bool) map[string]func(*rapid.T) {
	coord := func(t *rapid.T) int { return rapid.IntRange(0, len(w.coords)-1).Draw(t, "coordinator") }
	actions := map[string]func(*rapid.T){
		"ask": func(t *rapid.T) { w.ask(coord(t)) },
		"askTwice": func(*rapid.T) {
			w.ask(0)
			w.ask(1)
		},
		"askAgain": func(t *rapid.T) { w.askAgain(coord(t)) },
		"round1":   func(t *rapid.T) { w.round(coord(t)) },
		"round2":   func(t *rapid.T) { w.round(coord(t)) },
		"round3":   func(t *rapid.T) { w.round(coord(t)) },
		"workAll1": func(t *rapid.T) { w.workAll(coord(t), w.record.ModelVersion) },
		"workAll2": func(t *rapid.T) { w.workAll(coord(t), w.record.ModelVersion) },
		"read":     func(t *rapid.T) { w.runRead(coord(t)) },
		"write": func(t *rapid.T) {
			how := rapid.SampledFrom([]fate{fateDone, fateDone, fateDone, fateLostApplied, fateLostLate, fateUnsent}).Draw(t, "fate")
			w.runWrite(coord(t), how)
		},
		"late": func(*rapid.T) { w.runLate() },
		"tick": func(t *rapid.T) { w.feed(coord(t), Ticked{}) },
		"take": func(t *rapid.T) {
			if w.up {
				w.take(coord(t))
			}
		},
		"renew": func(t *rapid.T) {
			if w.up {
				w.renew(coord(t))
			}
		},
		"learn": func(*rapid.T) { w.learn() },
		"cut": func(t *rapid.T) {
			c := w.coords[coord(t)]
			c.cut = !c.cut
		},
		"lapse": func(t *rapid.T) { w.feed(coord(t), FenceChanged{}) },
		"kill": func(t *rapid.T) {
			at := coord(t)
			if write := w.coords[at].write; write != nil && rapid.Bool().Draw(t, "sent") {
				w.late = append(w.late, lateWrite{w.coords[at], write.Record, write.IfVersion})
			}
			w.coords[at] = w.newCoordinator()
		},
		"expire": func(t *rapid.T) { w.feed(coord(t), AskExpired{ID: w.asked}) },
		"receive": func(t *rapid.T) {
			if len(w.replies) > 0 {
				w.receive(rapid.IntRange(0, len(w.replies)-1).Draw(t, "reply"))
			}
		},
		"dropReply": func(*rapid.T) {
			if len(w.replies) > 0 {
				w.replies = w.replies[1:]
			}
		},
		"version": func(t *rapid.T) { w.postVersion(coord(t), w.record.ModelVersion+1) },
	}
	for _, name := range []string{"work1", "work2", "work3"} {
		actions[name] = func(t *rapid.T) {
			at := coord(t)
			for range rapid.IntRange(1, 20).Draw(t, "stages") {
				version := max(0, w.record.ModelVersion-rapid.IntRange(0, 1).Draw(t, "lag"))
				w.progress(at, rapid.IntRange(0, 30).Draw(t, "pick"), version)
			}
		}
	}
	if outages {
		actions["outage"] = func(t *rapid.T) {
			w.up = !w.up
			w.outages++
			if rapid.IntRange(0, 3).Draw(t, "known at once") > 0 {
				w.learn()
			}
		}
		actions["outageRounds"] = func(t *rapid.T) {
			w.up = false
			w.outages++
			w.learn()
			at := coord(t)
			for range rapid.IntRange(1, 3).Draw(t, "rounds") {
				w.round(at)
				w.workAll(at, w.record.ModelVersion)
			}
		}
	}
	return actions
}
