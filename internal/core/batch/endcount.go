package batch

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

// maxKnownServers bounds the ended servers that are known by name for each item.
const maxKnownServers = 8

// ServerEnds counts the servers that ended while they ran an item or its reward call.
//
// The count doesn't tell an item that ends its servers from a sound one whose servers happened to end. What does is how far its runs came: a
// text that ends a server does so again where the last run ended, without progress.
type ServerEnds struct {
	Item   int `msgpack:"i"`
	Reward int `msgpack:"r"`
	// ItemCleared and RewardCleared are how many of these ends don't count, since a later run survived or the server is alive.
	ItemCleared   int `msgpack:"c,omitempty"`
	RewardCleared int `msgpack:"d,omitempty"`
	// Stalled is how many of the item's ends in a row, up to the last one, came before the run got past the ones before: past the event Reached.
	Stalled int `msgpack:"s,omitempty"`
	Reached int `msgpack:"p,omitempty"`
	// Least and Most are the fewest and the most events of the runs that made progress before their servers ended; 0 if none did.
	Least int `msgpack:"l,omitempty"`
	Most  int `msgpack:"m,omitempty"`
	// Shortest and Longest are the shortest and the longest time after which a server ended.
	Shortest time.Duration `msgpack:"h,omitempty"`
	Longest  time.Duration `msgpack:"t,omitempty"`
	// Early is how many of the item's servers ended before the limit of a short run, so that none of the runs before explains the end.
	Early int `msgpack:"y,omitempty"`
	// Servers identifies ended servers, so that two entries that know of the same end count it once; 0 where there is none.
	Servers [maxKnownServers]EndID `msgpack:"e,omitempty"`
	// Pool is what ended in the item's pool while its servers did.
	Pool PoolEnds `msgpack:"o,omitempty"`
	// Age is the time since the last end. It is set only in heartbeats.
	Age time.Duration `msgpack:"a,omitempty"`
}

// EndID identifies the end of a server under an item, or under its reward call. It is a hash, 0 if the server isn't known.
type EndID uint32

// NewEndID returns the identity of the end of a server's run.
func NewEndID(server string, started time.Time, reward bool) EndID {
	hash := fnv.New32a()
	_, _ = fmt.Fprintf(hash, "%s %d", server, started.UnixMilli())
	id := EndID(hash.Sum32()) &^ rewardEnd
	if reward {
		return id | rewardEnd
	}
	return max(1, id)
}

// rewardEnd marks the ends under reward calls.
const rewardEnd EndID = 1 << 31

// Server returns the identity without the mark of reward calls.
func (e EndID) Server() EndID { return max(1, e&^rewardEnd) }

// EndedRun is a run whose server ended.
type EndedRun struct {
	// Server is 0 if it isn't known.
	Server EndID
	// From and Last are the last events known before the run and after it. They aren't known of reward calls.
	From, Last int
	// Lasted is the time from the beginning of the run to the end of the server, 0 if it isn't known.
	Lasted time.Duration
	// Short is set if the run was to be a short one.
	Short bool
	// CutOff is set if the run had left the server before the server ended.
	CutOff bool
	Reward bool
}

// add counts the end of a server, once.
func (e *ServerEnds) add(run EndedRun) {
	if run.Server != 0 && !e.addServer(run.Server) {
		return
	}
	if run.Reward {
		e.Reward++
		return
	}
	early := e.endsEarly(run)
	e.Item++
	if run.Lasted > 0 && !run.CutOff && !early {
		e.Shortest, e.Longest = least(e.Shortest, run.Lasted), max(e.Longest, run.Lasted)
	}
	switch events := run.Last - run.From; {
	case early:
		e.Early++
		e.Reached = max(e.Reached, run.Last)
	case run.CutOff:
		// How far it would have come isn't known.
		e.Reached = max(e.Reached, run.Last)
	case run.Last <= e.Reached:
		e.Stalled++
	default:
		e.Stalled, e.Reached = 0, run.Last
		e.Most, e.Least = max(e.Most, events), least(e.Least, events)
	}
}

// endsEarly reports whether the server ended before the limits of a short run.
func (e ServerEnds) endsEarly(run EndedRun) bool {
	limit := e.shortRun()
	return e.Suspect() && limit.Time > 0 && run.Short && e.Stalled == 0 && !run.CutOff && run.Lasted > 0 && run.Lasted < limit.Time && run.Last-run.From < limit.Events
}

// addServer adds the end of a server to the known ones; false if it is one of them. Later ends take the place of the first ones.
func (e *ServerEnds) addServer(id EndID) bool {
	if slices.Contains(e.Servers[:], id) {
		return false
	}
	free := slices.Index(e.Servers[:], 0)
	if free < 0 {
		copy(e.Servers[:], e.Servers[1:])
		free = len(e.Servers) - 1
	}
	e.Servers[free] = id
	return true
}

// least returns the lower number that isn't 0.
func least[N int | time.Duration](a, b N) N {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// Merge returns what both know together. The counts of two entries may include the same server.
func (e ServerEnds) Merge(other ServerEnds) ServerEnds {
	merged := e
	merged.Age = 0
	switch {
	case other.Item > e.Item || other.Item == e.Item && other.ItemCleared > e.ItemCleared:
		merged.Stalled = other.Stalled
	case other.Item == e.Item && other.ItemCleared == e.ItemCleared:
		merged.Stalled = max(e.Stalled, other.Stalled)
	}
	items, rewards := e.missing(other)
	merged.Item = max(e.Item+items, other.Item)
	merged.Reward = max(e.Reward+rewards, other.Reward)
	merged.ItemCleared = max(e.ItemCleared, other.ItemCleared)
	merged.RewardCleared = max(e.RewardCleared, other.RewardCleared)
	merged.Least = least(e.Least, other.Least)
	merged.Most = max(e.Most, other.Most)
	merged.Reached = max(e.Reached, other.Reached)
	merged.Shortest, merged.Longest = least(e.Shortest, other.Shortest), max(e.Longest, other.Longest)
	merged.Early = max(e.Early, other.Early)
	if other.Pool.Ended > e.Pool.Ended {
		merged.Pool = other.Pool
	}
	for _, id := range other.Servers {
		if id != 0 {
			merged.addServer(id)
		}
	}
	return merged
}

// knownServers returns the ended servers that are known.
func (e ServerEnds) knownServers() []EndID {
	known := slices.Index(e.Servers[:], 0)
	if known < 0 {
		known = len(e.Servers)
	}
	return slices.Clone(e.Servers[:known])
}

// missing returns how many ends of the other counts are not among these.
func (e ServerEnds) missing(other ServerEnds) (items, rewards int) {
	known := slices.Index(e.Servers[:], 0)
	if known < 0 || e.Item+e.Reward > known {
		// Ends without a name may be the same as those of the other counts.
		return 0, 0
	}
	for _, id := range other.Servers {
		switch {
		case id == 0 || slices.Contains(e.Servers[:], id):
		case id&rewardEnd != 0:
			rewards++
		default:
			items++
		}
	}
	return items, rewards
}

// Uncleared returns how many servers ended under the item and its reward call since a run survived.
func (e ServerEnds) Uncleared() (item, reward int) {
	return max(0, e.Item-e.ItemCleared), max(0, e.Reward-e.RewardCleared)
}

// Suspect reports whether an item with these counts may be what ends the servers.
func (e ServerEnds) Suspect() bool { return e.mostUncleared() >= suspectServerEnds }

// OverLimit reports whether the item or its reward call may only run where MayRunAgain permits it.
func (e ServerEnds) OverLimit() bool { return e.mostUncleared() >= MaxServerEnds }

// TotalUncleared returns how many servers ended under the item or its reward call since a run survived.
func (e ServerEnds) TotalUncleared() int {
	item, reward := e.Uncleared()
	return item + reward
}

func (e ServerEnds) mostUncleared() int {
	item, reward := e.Uncleared()
	return max(item, reward)
}

// Retract takes one end back whose server is alive after all. Its identity stays known, so that counts of other entries that include the end
// don't bring it back.
func (e *ServerEnds) Retract(reward bool) {
	item, rewards := e.Uncleared()
	switch {
	case reward:
		e.RewardCleared += min(1, rewards)
	case item == 1:
		e.Clear(false)
	case item > 1:
		e.ItemCleared++
		e.Stalled = max(0, e.Stalled-1)
	}
}

// Clear records that a run of the item or its reward call survived.
func (e *ServerEnds) Clear(reward bool) {
	if reward {
		e.RewardCleared = e.Reward
		return
	}
	e.ItemCleared, e.Stalled, e.Reached, e.Early = e.Item, 0, 0, 0
	e.Least, e.Most, e.Shortest, e.Longest, e.Pool = 0, 0, 0, 0, PoolEnds{}
}
