package batchjob

import (
	"testing"
	"time"
)

// Guards against items that start again after their end was requested: an unaccepted job was given up, and its object is created late, or is
// found after a lost answer, or its submission is repeated.
func TestGivenUpJobStartsHeld(t *testing.T) {
	for _, lateCreate := range []bool{true, false} {
		f := newEarlyFleet(t, 1)
		f.server.SetStream(1000, 10*time.Millisecond)
		m := f.managers[0]
		f.setStore(faultDown, true)
		spec := newStep("j", 2*earlySlots)
		refuseUnknown(t, m, spec)
		eventually(t, "the items run", func() bool { return f.requests() == earlySlots })
		_ = m.End(t.Context(), "j", "north")
		refuseUnknown(t, m, spec)
		if got := len(f.runners("j")); got != 0 {
			t.Errorf("begun again at %d entries", got)
		}
		f.store.put(t, KindJobs, "j", spec)
		f.setStore(faultNone, true)
		if lateCreate {
			m.runNewJob(spec)
		} else {
			m.assign(spec, nil)
		}
		eventually(t, "started", func() bool { j, ok := m.find("j"); return ok && j.isRunning() })
		time.Sleep(200 * time.Millisecond)
		if got := f.requests(); got != earlySlots {
			t.Errorf("%d runs", got)
		}
		f.setStore(faultNone, false)
		eventually(t, "the end is stored", func() bool { return m.isEnded("j") })
		if _, err := f.clients[0].Get(t.Context(), KindEnds, "j"); err != nil || len(m.early.ends) > 0 {
			t.Errorf("end: %v, %d requests kept", err, len(m.early.ends))
		}
	}
}

// Guards against a requested end that is lost on a handover, because the receiver runs the job already, as accepted or not.
func TestRequestedEndReachesAReceiverThatRunsTheJob(t *testing.T) {
	for _, accepted := range []bool{true, false} {
		f := newEarlyFleet(t, 1)
		f.server.SetStream(1000, 10*time.Millisecond)
		m, spec := f.managers[0], newStep("j", 2*earlySlots)
		if accepted {
			m.runNewJob(spec)
		} else {
			m.begin(spec)
		}
		f.store.put(t, KindJobs, "j", spec)
		f.down.Store(true)
		if err := m.handleRun(t.Context(), RunRequest{Job: "j", Organisation: "north", From: "other", EndRequested: true}); err != nil {
			t.Fatal(err)
		}
		if j, ok := m.find("j"); !ok || j.mayStart() {
			t.Errorf("accepted %v: found %v, not held", accepted, ok)
		}
	}
}

// Guards against a job that runs on at an entry that isn't a preferred runner, because the requested end didn't reach it: nobody is known to
// hold the job, or the recorded holder doesn't know it.
func TestRequestedEndReachesEveryEntry(t *testing.T) {
	for _, recorded := range []bool{false, true} {
		f := newEarlyFleet(t, 3)
		f.server.SetStream(1000, 10*time.Millisecond)
		f.setStore(faultDown, true)
		spec := newStep("j", earlySlots)
		f.managers[1].begin(spec)
		f.managers[2].begin(spec)
		if recorded {
			f.managers[0].recordOwner("j", testHostID(2))
			f.managers[2].giveUp("j", earlyDropped)
		}
		_ = f.managers[0].End(t.Context(), "j", "north")
		eventually(t, "given up", func() bool { return len(f.runners("j")) == 0 })
	}
}

// Guards against an unaccepted job that runs on although the store holds its end.
func TestStoredEndGivesUpAnUnacceptedJob(t *testing.T) {
	f := newEarlyFleet(t, 1)
	m := f.managers[0]
	f.setStore(faultDown, true)
	m.begin(newStep("j", 1))
	if answer, err := m.handleEnd(t.Context(), EndRequest{Job: "j", Organisation: "north", Stored: true}); err != nil || !answer.Known {
		t.Errorf("answered %v, %v", answer, err)
	}
	if len(f.runners("j")) > 0 || !m.isEnded("j") {
		t.Error("not ended")
	}
}
