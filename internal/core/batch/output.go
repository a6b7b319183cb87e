package batch

import (
	"slices"
	"strings"
	"time"
)

// Output accumulates the stream of an item over all its attempts.
type Output struct {
	// LastEvent is the number of the last complete event; 0 before the first.
	LastEvent int
	Versions  []int
	text      strings.Builder
}

// Event is one event of a stream.
type Event struct {
	// Number is the position of the event in the stream, starting at 1.
	Number int
	Data   string
	// Version is the weight version from this event on; 0 if the event names none.
	Version int
}

// OutputLimit bounds an item's output over all its attempts.
type OutputLimit struct {
	// Bytes bounds the length of the text, and Events the number of events; 0 events means that they aren't bounded.
	Bytes, Events int
}

// Allows reports whether the output may have the event added. A server that sends more is faulty: the output that it was going to have can't
// be told from what follows it.
func (l OutputLimit) Allows(o *Output, event Event) bool {
	return o.text.Len()+len(event.Data)+1 <= l.Bytes && (l.Events == 0 || event.Number <= l.Events)
}

// Append adds the next event, which the given weight version produced. It returns false and changes nothing if the
// event is out of order, because a missing or repeated event would corrupt the text permanently.
func (o *Output) Append(event Event, version int) bool {
	if event.Number != o.LastEvent+1 {
		return false
	}
	if o.LastEvent > 0 {
		o.text.WriteByte('\n')
	}
	o.text.WriteString(event.Data)
	o.LastEvent = event.Number
	if !slices.Contains(o.Versions, version) {
		o.Versions = append(o.Versions, version)
	}
	return true
}

// Partial is the state of an item without a result, as stored in a page or sent to another entry.
type Partial struct {
	Item      string `json:"item" msgpack:"i"`
	LastEvent int    `json:"last" msgpack:"l"`
	Versions  []int  `json:"versions" msgpack:"v"`
	Text      string `json:"text" msgpack:"t"`
	// TextComplete is set once the text is complete and waits to be scored.
	TextComplete bool `json:"whole,omitempty" msgpack:"w"`
	// Failures and RewardFailures count how often servers failed the item and its reward call.
	Failures       int `json:"failures,omitempty" msgpack:"f"`
	RewardFailures int `json:"rewardFailures,omitempty" msgpack:"r"`
	// Failed is set if servers have failed the item for good. Only entries that hand a job over send it; pages hold the result.
	Failed bool `json:"failed,omitempty" msgpack:"x,omitempty"`
	// ServerEnds and RewardServerEnds count the servers that ended while they ran the item and its reward call.
	ServerEnds       int `json:"serverEnds,omitempty" msgpack:"e"`
	RewardServerEnds int `json:"rewardServerEnds,omitempty" msgpack:"s"`
	// ServerEndsCleared, RewardServerEndsCleared and StalledServerEnds are those of type ServerEnds.
	ServerEndsCleared       int `json:"serverEndsCleared,omitempty" msgpack:"c"`
	RewardServerEndsCleared int `json:"rewardServerEndsCleared,omitempty" msgpack:"g"`
	StalledServerEnds       int `json:"stalledServerEnds,omitempty" msgpack:"d"`
	// ServerEndProgress and EndedServers are what ServerEnds holds of how far the runs came, and the servers that ended.
	ServerEndProgress EndProgress `json:"serverEndProgress,omitzero" msgpack:"p"`
	EndedServers      []EndID     `json:"endedServers,omitempty" msgpack:"n,omitempty"`
}

// EndProgress is how far the runs of an item came that ended their servers; see ServerEnds.
type EndProgress struct {
	Reached int `json:"reached" msgpack:"r"`
	Least   int `json:"least" msgpack:"l"`
	Most    int `json:"most" msgpack:"m"`
	// Shortest and Longest are the shortest and the longest time after which a server ended, in nanoseconds.
	Shortest time.Duration `json:"shortest,omitempty" msgpack:"h,omitempty"`
	Longest  time.Duration `json:"longest,omitempty" msgpack:"t,omitempty"`
	Early    int           `json:"early,omitempty" msgpack:"y,omitempty"`
	Pool     PoolEnds      `json:"pool,omitzero" msgpack:"o,omitempty"`
}

// serverEnds returns the counts of ended servers.
func (p Partial) serverEnds() ServerEnds {
	ends := ServerEnds{
		Reached: p.ServerEndProgress.Reached, Least: p.ServerEndProgress.Least, Most: p.ServerEndProgress.Most,
		Shortest: p.ServerEndProgress.Shortest, Longest: p.ServerEndProgress.Longest, Early: p.ServerEndProgress.Early,
		Pool: p.ServerEndProgress.Pool,
		Item: p.ServerEnds, Reward: p.RewardServerEnds,
		ItemCleared: p.ServerEndsCleared, RewardCleared: p.RewardServerEndsCleared, Stalled: p.StalledServerEnds,
	}
	copy(ends.Servers[:], p.EndedServers)
	return ends
}

// outputFromPartial returns an output that continues a partial.
func outputFromPartial(p Partial) *Output {
	o := &Output{LastEvent: p.LastEvent, Versions: slices.Clone(p.Versions)}
	o.text.WriteString(p.Text)
	return o
}

// Text returns the data of all events, separated by line feeds.
func (o *Output) Text() string { return o.text.String() }

// Size returns the length of the text in bytes.
func (o *Output) Size() int { return o.text.Len() }

// VersionsAllowed reports whether all weight versions of the output are at least minVersion and, if single is set, whether there
// is no more than one of them.
func (o *Output) VersionsAllowed(minVersion int, single bool) bool {
	if single && len(o.Versions) > 1 {
		return false
	}
	return !slices.ContainsFunc(o.Versions, func(version int) bool { return version < minVersion })
}
