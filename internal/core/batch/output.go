package batch

import (
	"slices"
	"strings"
)

// Output is what was received of an item's stream so far, over all its attempts.
type Output struct {
	// Last is the number of the last whole event; 0 before the first.
	Last     int
	Versions []int
	text     strings.Builder
}

// Event is one event of a stream.
type Event struct {
	// Number is the event's place in the stream, from 1.
	Number int
	Data   string
	// Version is the weight version from this event on; 0 if the event names none.
	Version int
}

// Append takes in the next event, made under the version. It returns false, and takes nothing in, if the event isn't
// the next one: a missing or repeated event would else stand in the text for good.
func (o *Output) Append(event Event, version int) bool {
	if event.Number != o.Last+1 {
		return false
	}
	if o.Last > 0 {
		o.text.WriteByte('\n')
	}
	o.text.WriteString(event.Data)
	o.Last = event.Number
	if !slices.Contains(o.Versions, version) {
		o.Versions = append(o.Versions, version)
	}
	return true
}

// Partial is what is known of an item that has no result, as it is kept in a page and told to another entry.
type Partial struct {
	Item     string `json:"item" msgpack:"i"`
	Last     int    `json:"last" msgpack:"l"`
	Versions []int  `json:"versions" msgpack:"v"`
	Text     string `json:"text" msgpack:"t"`
	// Whole is set once the text is complete and waits to be scored.
	Whole bool `json:"whole,omitempty" msgpack:"w"`
	// Failures and RewardFailures are how often servers failed the item and its reward call.
	Failures       int `json:"failures,omitempty" msgpack:"f"`
	RewardFailures int `json:"rewardFailures,omitempty" msgpack:"r"`
}

// outputOf returns the output of a partial, to go on from.
func outputOf(p Partial) *Output {
	o := &Output{Last: p.Last, Versions: slices.Clone(p.Versions)}
	o.text.WriteString(p.Text)
	return o
}

// Text returns the data of all events.
func (o *Output) Text() string { return o.text.String() }

// Size is the length of the text in bytes.
func (o *Output) Size() int { return o.text.Len() }

// Fits says whether the output may be used where minVersion is the oldest version, and single allows only one.
func (o *Output) Fits(minVersion int, single bool) bool {
	if single && len(o.Versions) > 1 {
		return false
	}
	return !slices.ContainsFunc(o.Versions, func(version int) bool { return version < minVersion })
}
