package batch

import (
	"fmt"
	"testing"
	"time"
)

// Guards against heartbeats that grow with each server that ends, and against entries that never learn of an item that is withheld.
func TestOnlySuspectsAreShared(t *testing.T) {
	now := time.Now()
	tracker := NewEndTracker()
	for i := range 200 {
		tracker.Merge(now, fmt.Sprintf("once-%d", i), ServerEnds{Item: 1})
		tracker.Merge(now, fmt.Sprintf("twice-%d", i), ServerEnds{Item: 1})
		tracker.Merge(now, fmt.Sprintf("twice-%d", i), ServerEnds{Item: 2})
	}
	tracker.Merge(now, "withheld", ServerEnds{Item: MaxServerEnds})
	tracker.Merge(now, "reward", ServerEnds{Reward: MaxServerEnds})
	shared := tracker.Shared(now)
	if len(shared) != maxSharedServerEnds || shared["withheld"].Item != MaxServerEnds || shared["reward"].Reward != MaxServerEnds {
		t.Errorf("shared %v", shared)
	}
	for item, ends := range shared {
		if !ends.Suspect() {
			t.Errorf("%s with %+v is shared", item, ends)
		}
	}
	if late := tracker.Shared(now.Add(serverEndRetention + time.Second)); len(late) != 0 {
		t.Errorf("shared after the retention: %v", late)
	}
}

// Guards against a suspect that runs beside another one, so that the third end could be due to either.
func TestSuspectsDoNotShareAServer(t *testing.T) {
	tracker := NewEndTracker()
	tracker.Started("s1", "a")
	if tracker.SuspectServers("a")["s1"] || !tracker.SuspectServers("b")["s1"] {
		t.Error("a server is closed to the suspect that runs there, or open to another one")
	}
	tracker.Ended("s1", "b")
	if !tracker.SuspectServers("b")["s1"] {
		t.Error("the end of another item's run opened the server")
	}
	tracker.Ended("s1", "a")
	if tracker.SuspectServers("b")["s1"] {
		t.Error("the server stays closed after the run")
	}
}

// Guards against a server that is taken for one without suspects while one of several runs there.
func TestServerOfSeveralSuspectsStaysClosed(t *testing.T) {
	tracker := NewEndTracker()
	tracker.Started("s1", "a")
	tracker.Started("s1", "b")
	tracker.Ended("s1", "b")
	if !tracker.SuspectServers("b")["s1"] || tracker.SuspectServers("a")["s1"] {
		t.Error("the server is open to the suspect that has ended, or closed to the one that runs there")
	}
}

// Guards against counts that two entries send to each other for ever, and against a delay that starts over at each entry.
func TestSharedServerEndsKeepTheirAge(t *testing.T) {
	now := time.Now()
	sender, receiver := NewEndTracker(), NewEndTracker()
	sender.Merge(now.Add(-time.Minute), "a", ServerEnds{Item: MaxServerEnds - 1})
	received := sender.Shared(now)["a"]
	if received.Age != time.Minute {
		t.Errorf("age %v", received.Age)
	}
	if !receiver.Merge(now, "a", received) || receiver.Merge(now, "a", received) {
		t.Error("the counts are not merged once")
	}
	if at := receiver.find(now, "a").changedAt; !at.Equal(now.Add(-time.Minute)) {
		t.Errorf("the last end is from %v at the receiver", at)
	}
	late := now.Add(serverEndRetention - time.Minute)
	if again := receiver.Shared(late); len(again) != 1 {
		t.Errorf("shared at the end of the retention: %v", again)
	}
	if returned := receiver.Shared(late)["a"]; NewEndTracker().Merge(late.Add(time.Second), "a", ServerEnds{
		Item: returned.Item, Age: returned.Age + time.Second,
	}) {
		t.Error("counts that have expired are merged")
	}
}

// Guards against an item over the limit that ends further servers in a job that brings it again after a while.
func TestItemOverTheLimitIsRemembered(t *testing.T) {
	now := time.Now()
	tracker := NewEndTracker()
	tracker.Merge(now.Add(-2*serverEndRetention), "a", ServerEnds{Item: MaxServerEnds})
	if !tracker.Get(now, "a").OverLimit() {
		t.Error("forgotten after the retention of other items")
	}
	tracker.Touch(now.Add(overLimitRetention), "a")
	if tracker.counts["a"].expired(now.Add(2 * overLimitRetention)) {
		t.Error("forgotten although a job had it")
	}
}

// Guards against counts that are lost with the entry at which the first server ended.
func TestSingleEndsAreSharedForAWhile(t *testing.T) {
	now := time.Now()
	tracker := NewEndTracker()
	tracker.Merge(now, "a", ServerEnds{Item: 1})
	if got := tracker.Shared(now.Add(singleEndShared - 1)); got["a"].Item != 1 {
		t.Errorf("shared %v", got)
	}
	if got := tracker.Shared(now.Add(singleEndShared)); len(got) > 0 {
		t.Errorf("shared for too long: %v", got)
	}
}
