package view

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"
)

var baseTime = time.Unix(1_700_000_000, 0)

// hostsInFollowOrder returns count hosts in the order in which they should follow the store.
func hostsInFollowOrder(count int) []string {
	var hosts []string
	for i := range count {
		hosts = append(hosts, fmt.Sprintf("entry-%d", i))
	}
	slices.SortFunc(hosts, func(a, b string) int { return cmp.Compare(hashRank(a), hashRank(b)) })
	return hosts
}

// Guards against requests being served with a withdrawn key. Both followers were cut off right before the withdrawal, their
// watches hung, and all other entries relied on them for seconds. Followers must show recent contact with the store, or the
// next in order take over.
func TestNextInOrderReplaceUnreachableFollowers(t *testing.T) {
	hosts := hostsInFollowOrder(6)
	for _, test := range []struct {
		name        string
		contactAges map[int]time.Duration
		want        []bool
	}{
		{name: "no contacts", want: []bool{true, true, true, true, true, true}},
		{name: "the first two reach the store", contactAges: map[int]time.Duration{0: 0, 1: 0}, want: []bool{true, true, false, false, false, false}},
		{name: "the first is cut off", contactAges: map[int]time.Duration{0: maxContactAge, 1: 0},
			want: []bool{true, true, true, true, false, false}},
		{name: "the first is cut off and the third follows", contactAges: map[int]time.Duration{0: maxContactAge, 1: 0, 2: 0},
			want: []bool{true, true, true, false, false, false}},
		{name: "the first two are cut off", contactAges: map[int]time.Duration{0: maxContactAge, 1: maxContactAge},
			want: []bool{true, true, true, true, false, false}},
		{name: "the first four are cut off",
			contactAges: map[int]time.Duration{0: maxDistantContactAge, 1: maxDistantContactAge, 2: maxDistantContactAge, 3: maxDistantContactAge},
			want:        []bool{true, true, true, true, true, true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for i, host := range hosts {
				c := newContactTracker(host)
				ages := map[string]int64{}
				for position, age := range test.contactAges {
					ages[hosts[position]] = age.Milliseconds()
				}
				c.merge(baseTime, ages)
				if got := c.shouldFollow(baseTime, i, configurationFollowers); got != test.want[i] {
					t.Errorf("host %d: shouldFollow = %v", i, got)
				}
			}
		})
	}
}

// Guards against needless followers. The followers' contacts reached the most distant of 27 entries after more than a second,
// so these repeatedly started to follow as well, with three watches each time, half of all store calls of a minute. Only the
// two standbys after the followers may start that early.
func TestDelayedContactsAddOnlyStandbyFollowers(t *testing.T) {
	hosts := hostsInFollowOrder(27)
	following := 0
	for i, host := range hosts {
		c := newContactTracker(host)
		delayed := (maxContactAge + 400*time.Millisecond).Milliseconds()
		c.merge(baseTime, map[string]int64{hosts[0]: delayed, hosts[1]: delayed})
		if c.shouldFollow(baseTime, i, configurationFollowers) {
			following++
		}
	}
	if following != standbys {
		t.Errorf("%d entries follow, want only the standbys", following)
	}
}

// Guards against requests being sent to a leaving server while the only follower of the server list is cut off. The next in
// order must take over as soon as the follower's last contact is too old.
func TestServerListFollowerIsReplaced(t *testing.T) {
	hosts := hostsInFollowOrder(4)
	for _, test := range []struct {
		name string
		age  time.Duration
		want []bool
	}{
		{name: "the first reaches the store", want: []bool{true, false, false, false}},
		{name: "the first is cut off", age: maxContactAge, want: []bool{true, true, true, true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for i, host := range hosts {
				c := newContactTracker(host)
				c.merge(baseTime, map[string]int64{hosts[0]: test.age.Milliseconds()})
				if got := c.shouldFollow(baseTime, i, otherFollowers); got != test.want[i] {
					t.Errorf("host %d: shouldFollow = %v", i, got)
				}
			}
		})
	}
}

func TestContactsAreSharedAsAges(t *testing.T) {
	first, second := newContactTracker("a"), newContactTracker("b")
	first.record(baseTime, nil)
	// The second entry's clock is one hour ahead.
	secondNow := baseTime.Add(time.Hour)
	second.merge(secondNow, first.ages(baseTime.Add(300*time.Millisecond)))
	if age := second.ages(secondNow)["a"]; age != 300 {
		t.Errorf("age = %d ms, want 300 ms", age)
	}
	second.merge(secondNow, map[string]int64{"a": 900, "b": 1})
	if ages := second.ages(secondNow); ages["a"] != 300 || len(ages) != 1 {
		t.Errorf("ages = %v, want only a with 300 ms", ages)
	}
	if len(second.ages(secondNow.Add(contactRetention))) != 0 {
		t.Error("expired contact was kept")
	}
}

// Guards against needless calls in an outage, in which refused calls are billed too: only some entries may retry at the normal
// rate.
func TestOnlySomeEntriesRetryQuicklyInOutage(t *testing.T) {
	hosts := hostsInFollowOrder(10)
	ages := map[string]int64{}
	for _, host := range hosts {
		ages[host] = (maxContactAge + time.Second).Milliseconds()
	}
	slow := 0
	for _, host := range hosts {
		c := newContactTracker(host)
		c.record(baseTime, errors.New("down"))
		c.merge(baseTime, ages)
		if !c.failing() {
			t.Error("failing = false after a failed call")
		}
		if c.retryDelay(baseTime, retryPause) == outageRetryPause {
			slow++
		}
	}
	if slow != len(hosts)-outageRetriers {
		t.Errorf("%d of %d entries retry slowly, want all but outageRetriers", slow, len(hosts))
	}
}

// Guards against submissions being retried for seconds in an outage, until it is unknown whether they were accepted. With a
// detected outage they are refused at once, with the guarantee that nothing runs.
func TestOutageDetection(t *testing.T) {
	c := newContactTracker("a")
	if !c.outage(baseTime) {
		t.Error("no outage before the first call")
	}
	c.record(baseTime, nil)
	c.record(baseTime.Add(time.Second), errors.New("down"))
	if c.outage(baseTime.Add(outageThreshold - time.Millisecond)) {
		t.Error("outage reported after a single failure")
	}
	if !c.outage(baseTime.Add(outageThreshold)) {
		t.Error("no outage after outageThreshold without contact")
	}
	c.merge(baseTime.Add(outageThreshold), map[string]int64{"b": 100})
	if c.outage(baseTime.Add(outageThreshold)) {
		t.Error("outage reported although another entry reaches the store")
	}
}
