package execution

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
)

var start = time.Unix(1_700_000_000, 0)

// An entry loses its connection while the request's frame is still on the way. It asks what became
// of it, hears "not run" and sends the call elsewhere. If the late frame then ran, an airline would be
// billed twice.
func TestLateFrameAfterSettleNeverRuns(t *testing.T) {
	r := NewRecord()
	id := request.ID{Incarnation: 1, Counter: 1}
	if diff := cmp.Diff(request.Settled{Verdict: verdict.NotRun}, r.Settle(start, id)); diff != "" {
		t.Error(diff)
	}
	err := r.Begin(start, id)
	refusal, ok := verdict.As(err)
	if !ok || refusal.Verdict != verdict.NotRun || refusal.Reason != verdict.ReasonFenced {
		t.Errorf("late frame: %v", err)
	}
}

func TestSettle(t *testing.T) {
	id := request.ID{Incarnation: 1, Counter: 1}
	begin := func(r *Record) { _ = r.Begin(start, id) }
	run := func(r *Record) { begin(r); _ = r.Start(start, id) }
	finish := func(v verdict.Verdict) func(r *Record) {
		return func(r *Record) { run(r); _ = r.Finish(start, id, v) }
	}
	for _, tc := range []struct {
		name  string
		steps func(r *Record)
		want  request.Settled
	}{
		{name: "unseen", steps: func(*Record) {}, want: request.Settled{Verdict: verdict.NotRun}},
		{name: "queued", steps: begin, want: request.Settled{Verdict: verdict.NotRun}},
		{name: "removed", steps: func(r *Record) { begin(r); r.Remove(start, id) }, want: request.Settled{Verdict: verdict.NotRun}},
		{name: "running", steps: run, want: request.Settled{Verdict: verdict.MayHaveRun, Running: true}},
		{name: "ran", steps: finish(verdict.Ran), want: request.Settled{Verdict: verdict.Ran}},
		{name: "lost at the server", steps: finish(verdict.MayHaveRun), want: request.Settled{Verdict: verdict.MayHaveRun}},
		{name: "never reached the server", steps: finish(verdict.NotRun), want: request.Settled{Verdict: verdict.NotRun}},
		{name: "ran and forgotten", steps: func(r *Record) {
			finish(verdict.Ran)(r)
			r.Expire(start.Add(defaultKeep))
		}, want: request.Settled{Verdict: verdict.MayHaveRun}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := NewRecord()
			tc.steps(r)
			if diff := cmp.Diff(tc.want, r.Settle(start, id)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// truth is what really happened to a request, beside what the record says.
type truth struct {
	runs   int
	notRun bool
}

// Frames come late, doubled and crossed with questions about them, the record forgets by time and by
// number, and senders come and go. However they interleave, no request runs twice, none runs after
// its asker was told that it never will, and none is called "not run" that ran.
func TestRecordUnderRandomInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRecord(WithKeep(time.Minute), WithCapacity(rapid.IntRange(1, 10).Draw(t, "capacity")))
		now := start
		truths := make(map[request.ID]*truth)
		live := make(map[request.ID]State)
		draw := func(t *rapid.T) (request.ID, *truth) {
			id := request.ID{
				Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
				Counter:     rapid.Uint64Range(1, 12).Draw(t, "counter"),
			}
			if truths[id] == nil {
				truths[id] = &truth{}
			}
			return id, truths[id]
		}
		refused := func(t *rapid.T, id request.ID, err error) {
			refusal, ok := verdict.As(err)
			if ok && refusal.Verdict == verdict.NotRun {
				if truths[id].runs > 0 {
					t.Fatalf("%s was called not run and has run", id)
				}
				truths[id].notRun = true
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"frame": func(t *rapid.T) {
				id, _ := draw(t)
				if err := r.Begin(now, id); err != nil {
					refused(t, id, err)
					return
				}
				live[id] = Queued
			},
			"start": func(t *rapid.T) {
				id, what := draw(t)
				if live[id] != Queued {
					return
				}
				if err := r.Start(now, id); err != nil {
					delete(live, id)
					refused(t, id, err)
					return
				}
				live[id] = Running
				what.runs++
				if what.runs > 1 || what.notRun {
					t.Fatalf("%s runs for the %d. time, called not run: %v", id, what.runs, what.notRun)
				}
			},
			"remove": func(t *rapid.T) {
				id, what := draw(t)
				if live[id] != Queued {
					return
				}
				r.Remove(now, id)
				delete(live, id)
				what.notRun = true
			},
			"finish": func(t *rapid.T) {
				id, _ := draw(t)
				if live[id] != Running {
					return
				}
				delete(live, id)
				v := rapid.SampledFrom([]verdict.Verdict{verdict.MayHaveRun, verdict.Ran}).Draw(t, "verdict")
				if err := r.Finish(now, id, v); err != nil {
					t.Fatal(err)
				}
			},
			"settle": func(t *rapid.T) {
				id, what := draw(t)
				settled := r.Settle(now, id)
				if settled.Running != (live[id] == Running) {
					t.Fatalf("%s: running %v", id, settled.Running)
				}
				if settled.Verdict == verdict.Ran && what.runs == 0 {
					t.Fatalf("%s was called ran and has not run", id)
				}
				if settled.Verdict == verdict.NotRun {
					refused(t, id, verdict.Refuse(verdict.NotRun, "", 0, ""))
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
				r.Expire(now)
			},
			"": func(t *rapid.T) {
				counts := r.Counts()
				if ended := counts.Ran + counts.Uncertain + counts.Fenced; ended > r.capacity {
					t.Fatalf("%d ended requests are kept, %d allowed", ended, r.capacity)
				}
			},
		})
	})
}

// A caller retries a booking with the same idempotency key, at once, later, or for another booking.
// However its calls interleave with the run and its loss, the booking runs at most once.
func TestKeysUnderRandomInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := NewKeys[int](time.Hour, 3)
		now := start
		type claimed struct {
			digest  Digest
			running bool
			ran     bool
			lost    bool
			outcome int
			since   time.Time
		}
		model := make(map[Key]*claimed)
		draw := func(t *rapid.T) Key {
			return Key{Organisation: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "organisation"),
				Hash: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "key")}
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				key, digest := draw(t), Digest{rapid.Byte().Draw(t, "digest") % 2}
				outcome, ran, err := k.Claim(now, key, digest)
				known := model[key]
				switch {
				case known == nil && err != nil:
					if refusal, ok := verdict.As(err); !ok || refusal.Reason != verdict.ReasonNoRoom || len(model) < 3 {
						t.Fatalf("new key: %v", err)
					}
				case known == nil:
					model[key] = &claimed{digest: digest, running: true}
				case known.digest != digest:
					if refusal, ok := verdict.As(err); !ok || refusal.Reason != verdict.ReasonKeyReused {
						t.Fatalf("another call: %v", err)
					}
				case known.ran:
					if err != nil || !ran || outcome != known.outcome {
						t.Fatalf("repeat: %d, %v, %v", outcome, ran, err)
					}
				default:
					if refusal, ok := verdict.As(err); !ok || refusal.Verdict != verdict.MayHaveRun {
						t.Fatalf("running or lost: %v", err)
					}
				}
			},
			"finish": func(t *rapid.T) {
				key := draw(t)
				known := model[key]
				if known == nil || !known.running {
					return
				}
				v := rapid.SampledFrom([]verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran}).Draw(t, "verdict")
				outcome := rapid.Int().Draw(t, "outcome")
				k.Finish(now, key, v, outcome)
				*known = claimed{digest: known.digest, ran: v == verdict.Ran, lost: v == verdict.MayHaveRun,
					outcome: outcome, since: now}
				if v == verdict.NotRun {
					delete(model, key)
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "minutes")) * time.Minute)
				k.Expire(now)
				for key, known := range model {
					if !known.running && now.Sub(known.since) >= time.Hour {
						delete(model, key)
					}
				}
			},
			"": func(t *rapid.T) {
				if k.Len() != len(model) {
					t.Fatalf("%d keys, %d expected", k.Len(), len(model))
				}
			},
		})
	})
}

// The size of one remembered request, for the capacity page.
func BenchmarkRecord(b *testing.B) {
	b.ReportAllocs()
	r := NewRecord()
	now := start
	for i := 0; b.Loop(); i++ {
		id := request.ID{Incarnation: 1, Counter: uint64(i + 1)}
		_ = r.Begin(now, id)
		_ = r.Start(now, id)
		_ = r.Finish(now, id, verdict.Ran)
	}
}
