package view

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// inOrder returns so many hosts in the order in which they are to follow the store.
func inOrder(count int) []string {
	var hosts []string
	for i := range count {
		hosts = append(hosts, fmt.Sprintf("entry-%d", i))
	}
	slices.SortFunc(hosts, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return hosts
}

// A partition cut off both entries that followed the store, right before a key was withdrawn. Their watches hung without an end, the
// others relied on them, and requests with the key were served for seconds. Followers prove that they reach the store, and without fresh
// proofs the next in order begin.
func TestTheNextInOrderFollowTheStore(t *testing.T) {
	hosts := inOrder(6)
	for _, test := range []struct {
		name    string
		reached map[int]time.Duration
		want    []bool
	}{
		{name: "nobody is known", want: []bool{true, true, true, true, true, true}},
		{name: "the first two do", reached: map[int]time.Duration{0: 0, 1: 0}, want: []bool{true, true, false, false, false, false}},
		{name: "the first is cut off", reached: map[int]time.Duration{0: contactTime, 1: 0}, want: []bool{true, true, true, true, false, false}},
		{name: "and the third began", reached: map[int]time.Duration{0: contactTime, 1: 0, 2: 0}, want: []bool{true, true, true, false, false, false}},
		{name: "both are cut off", reached: map[int]time.Duration{0: contactTime, 1: contactTime}, want: []bool{true, true, true, true, false, false}},
		{name: "the four first are cut off", reached: map[int]time.Duration{0: contactMost, 1: contactMost, 2: contactMost, 3: contactMost}, want: []bool{true, true, true, true, true, true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for i, host := range hosts {
				c := newContacts(host)
				ages := map[string]int64{}
				for at, age := range test.reached {
					ages[hosts[at]] = age.Milliseconds()
				}
				c.merge(start, ages)
				if got := c.chosen(start, i, followers); got != test.want[i] {
					t.Errorf("number %d follows: %v", i, got)
				}
			}
		})
	}
}

// News of the followers' contacts came to the far ones of 27 entries after more than a second, and these began to follow the store as
// well, again and again: three watches each time, half of all calls of a minute. Only the next two in order begin as soon.
func TestLateNewsMakesNoFollowers(t *testing.T) {
	hosts := inOrder(27)
	following := 0
	for i, host := range hosts {
		c := newContacts(host)
		late := (contactTime + 400*time.Millisecond).Milliseconds()
		c.merge(start, map[string]int64{hosts[0]: late, hosts[1]: late})
		if c.chosen(start, i, followers) {
			following++
		}
	}
	if following != standbys {
		t.Errorf("%d entries follow", following)
	}
}

// The one entry that follows the list of servers is cut off. The next in order must go on with it as soon as the last proof is old, or a
// leaving server would get requests for as long as the cut lasts.
func TestTheListOfServersIsFollowedOn(t *testing.T) {
	hosts := inOrder(4)
	for _, test := range []struct {
		name string
		age  time.Duration
		want []bool
	}{
		{name: "the first reaches the store", want: []bool{true, false, false, false}},
		{name: "the first is cut off", age: contactTime, want: []bool{true, true, true, true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for i, host := range hosts {
				c := newContacts(host)
				c.merge(start, map[string]int64{hosts[0]: test.age.Milliseconds()})
				if got := c.chosen(start, i, otherFollowers); got != test.want[i] {
					t.Errorf("number %d follows: %v", i, got)
				}
			}
		})
	}
}

func TestContactsAreToldByAge(t *testing.T) {
	first, second := newContacts("a"), newContacts("b")
	first.note(start, nil)
	// The second entry's clock is an hour ahead.
	there := start.Add(time.Hour)
	second.merge(there, first.ages(start.Add(300*time.Millisecond)))
	if age := second.ages(there)["a"]; age != 300 {
		t.Errorf("age %d ms", age)
	}
	second.merge(there, map[string]int64{"a": 900, "b": 1})
	if ages := second.ages(there); ages["a"] != 300 || len(ages) != 1 {
		t.Errorf("ages %v", ages)
	}
	if len(second.ages(there.Add(forgetContact))) != 0 {
		t.Error("never forgotten")
	}
}

// The store is down for all. Each call is paid for, refused ones too, so that some entries try for it and the others rest.
func TestSomeTryForTheStoreInAnOutage(t *testing.T) {
	hosts := inOrder(10)
	ages := map[string]int64{}
	for _, host := range hosts {
		ages[host] = (contactTime + time.Second).Milliseconds()
	}
	patient := 0
	for _, host := range hosts {
		c := newContacts(host)
		c.note(start, errors.New("down"))
		c.merge(start, ages)
		if !c.failing() {
			t.Error("not failing")
		}
		if c.patience(start, retryPause) == outagePause {
			patient++
		}
	}
	if patient != len(hosts)-outageFollowers {
		t.Errorf("%d of %d rest", patient, len(hosts))
	}
}

// The store is down. A submission must be refused at once, with the promise that nothing runs, rather than tried for seconds until
// nobody knows whether it was accepted.
func TestAnOutageIsKnown(t *testing.T) {
	c := newContacts("a")
	if !c.outage(start) {
		t.Error("reached before any call")
	}
	c.note(start, nil)
	c.note(start.Add(time.Second), errors.New("down"))
	if c.outage(start.Add(outageTime - time.Millisecond)) {
		t.Error("one failure taken for an outage")
	}
	if !c.outage(start.Add(outageTime)) {
		t.Error("not known")
	}
	c.merge(start.Add(outageTime), map[string]int64{"b": 100})
	if c.outage(start.Add(outageTime)) {
		t.Error("an entry that reaches the store doesn't count")
	}
}
