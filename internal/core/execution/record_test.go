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

// Guards against a request that runs twice: an entry loses its connection while the request's frame is still
// in flight, queries the verdict, gets "not run" and sends the call to another agent. The delayed frame must
// not run, or an airline would be billed twice.
func TestLateFrameAfterSettleNeverRuns(t *testing.T) {
	r := NewRecord()
	id := request.ID{Incarnation: 1, Counter: 1}
	if diff := cmp.Diff(request.Settled{Verdict: verdict.NotRun}, r.Settle(start, id)); diff != "" {
		t.Error(diff)
	}
	err := r.Enqueue(start, id)
	refusal, ok := verdict.As(err)
	if !ok || refusal.Verdict != verdict.NotRun || refusal.Reason != verdict.ReasonFenced {
		t.Errorf("delayed frame: got %v, want a refusal as fenced", err)
	}
}

func TestSettle(t *testing.T) {
	id := request.ID{Incarnation: 1, Counter: 1}
	begin := func(r *Record) { _ = r.Enqueue(start, id) }
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
		{name: "lost at the backend server", steps: finish(verdict.MayHaveRun), want: request.Settled{Verdict: verdict.MayHaveRun}},
		{name: "never reached the backend server", steps: finish(verdict.NotRun), want: request.Settled{Verdict: verdict.NotRun}},
		{name: "ran and forgotten", steps: func(r *Record) {
			finish(verdict.Ran)(r)
			r.Expire(start.Add(defaultRetention))
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

// history is what happened to a request, independently of the record.
type history struct {
	runs int
	// notRun is set once the record has answered NotRun.
	notRun bool
}

// Guards against a request that runs twice, that runs after it was reported as "not run", or that ran and is
// reported as "not run". Frames arrive delayed, twice, and before or after queries about them, and the record forgets requests
// by time and by number, in any order.
func TestRecordUnderRandomInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewRecord(WithRetention(time.Minute), WithCapacity(rapid.IntRange(1, 10).Draw(t, "capacity")))
		now := start
		histories := make(map[request.ID]*history)
		active := make(map[request.ID]State)
		draw := func(t *rapid.T) (request.ID, *history) {
			id := request.ID{
				Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
				Counter:     rapid.Uint64Range(1, 12).Draw(t, "counter"),
			}
			if histories[id] == nil {
				histories[id] = &history{}
			}
			return id, histories[id]
		}
		checkRefusal := func(t *rapid.T, id request.ID, err error) {
			refusal, ok := verdict.As(err)
			if ok && refusal.Verdict == verdict.NotRun {
				if histories[id].runs > 0 {
					t.Fatalf("%s is reported as not run but has run", id)
				}
				histories[id].notRun = true
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"frame": func(t *rapid.T) {
				id, _ := draw(t)
				if err := r.Enqueue(now, id); err != nil {
					checkRefusal(t, id, err)
					return
				}
				active[id] = Queued
			},
			"start": func(t *rapid.T) {
				id, past := draw(t)
				if active[id] != Queued {
					return
				}
				if err := r.Start(now, id); err != nil {
					delete(active, id)
					checkRefusal(t, id, err)
					return
				}
				active[id] = Running
				past.runs++
				if past.runs > 1 || past.notRun {
					t.Fatalf("%s: run number %d, reported as not run: %v", id, past.runs, past.notRun)
				}
			},
			"remove": func(t *rapid.T) {
				id, past := draw(t)
				if active[id] != Queued {
					return
				}
				r.Remove(now, id)
				delete(active, id)
				past.notRun = true
			},
			"finish": func(t *rapid.T) {
				id, _ := draw(t)
				if active[id] != Running {
					return
				}
				delete(active, id)
				v := rapid.SampledFrom([]verdict.Verdict{verdict.MayHaveRun, verdict.Ran}).Draw(t, "verdict")
				if err := r.Finish(now, id, v); err != nil {
					t.Fatal(err)
				}
			},
			"settle": func(t *rapid.T) {
				id, past := draw(t)
				settled := r.Settle(now, id)
				if settled.Running != (active[id] == Running) {
					t.Fatalf("%s: settled as running: %v", id, settled.Running)
				}
				if settled.Verdict == verdict.Ran && past.runs == 0 {
					t.Fatalf("%s is reported as ran but has not run", id)
				}
				if settled.Verdict == verdict.NotRun {
					checkRefusal(t, id, verdict.Refuse(verdict.NotRun, "", 0, ""))
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
				r.Expire(now)
			},
			"": func(t *rapid.T) {
				counts := r.Counts()
				if ended := counts.Ran + counts.Uncertain + counts.Fenced; ended > r.capacity {
					t.Fatalf("%d ended requests are kept, want at most %d", ended, r.capacity)
				}
			},
		})
	})
}

// Guards against a booking that runs twice. Its caller retries with the same idempotency key, at once, later, or
// for another booking, in any order with the run and the loss of its answer.
func TestKeysUnderRandomInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := NewKeys[int](time.Hour, 3)
		now := start
		type expectedRun struct {
			digest  Digest
			running bool
			ran     bool
			lost    bool
			outcome int
			since   time.Time
		}
		model := make(map[Key]*expectedRun)
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
						t.Fatalf("claim of a new key: %v", err)
					}
				case known == nil:
					model[key] = &expectedRun{digest: digest, running: true}
				case known.digest != digest:
					if refusal, ok := verdict.As(err); !ok || refusal.Reason != verdict.ReasonKeyReused {
						t.Fatalf("claim for another call: %v", err)
					}
				case known.ran:
					if err != nil || !ran || outcome != known.outcome {
						t.Fatalf("claim after the run: outcome %d, ran %v, error %v", outcome, ran, err)
					}
				default:
					if refusal, ok := verdict.As(err); !ok || refusal.Verdict != verdict.MayHaveRun {
						t.Fatalf("claim of a running or lost call: %v", err)
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
				*known = expectedRun{digest: known.digest, ran: v == verdict.Ran, lost: v == verdict.MayHaveRun,
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
					t.Fatalf("%d keys, want %d", k.Len(), len(model))
				}
			},
		})
	})
}

// BenchmarkRecord measures the memory of one ended request, for the capacity page.
func BenchmarkRecord(b *testing.B) {
	b.ReportAllocs()
	r := NewRecord()
	now := start
	for i := 0; b.Loop(); i++ {
		id := request.ID{Incarnation: 1, Counter: uint64(i + 1)}
		_ = r.Enqueue(now, id)
		_ = r.Start(now, id)
		_ = r.Finish(now, id, verdict.Ran)
	}
}
