package billing

import (
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
)

// countsKind distinguishes the two counts objects of a shard.
type countsKind string

const (
	// fullCounts is the object with all counts that the shard had when the object was last written.
	fullCounts countsKind = "whole"
	// recentCounts is the object with the counts that have grown since then.
	recentCounts countsKind = "recent"
)

// errMalformedCounts is returned if a row of an object refers to an agent that the object doesn't list, or
// if the window in an object differs from the one in its name.
var errMalformedCounts = errors.New("malformed counts object")

// Counts is the content of one counts object: counts of one window. Relays write such an object every few
// seconds, so the encoding is compact: each name is written once, and each count is an array of numbers.
type Counts struct {
	// Window is the start of the window in Unix seconds.
	Window int64 `json:"window"`
	// Agents are the agent incarnations to which the rows refer by index.
	Agents []uint64 `json:"agents"`
	// Rows are the counts by organisation.
	Rows map[string][]Row `json:"rows"`
}

// Row is one count: the index in Counts.Agents, then requests, tokens and nanoseconds of server time.
type Row [4]uint64

// packCounts encodes counts that all belong to the window.
func packCounts(window int64, counts []usage.Count) Counts {
	packed := Counts{Window: window, Agents: []uint64{}, Rows: map[string][]Row{}}
	indexes := make(map[uint64]uint64)
	for _, count := range counts {
		index, ok := indexes[count.Cell.Agent]
		if !ok {
			index = uint64(len(packed.Agents))
			indexes[count.Cell.Agent] = index
			packed.Agents = append(packed.Agents, count.Cell.Agent)
		}
		amount := count.Amount
		row := Row{index, amount.Requests, amount.Tokens, uint64(max(amount.ServerTime, 0))}
		packed.Rows[count.Cell.Organisation] = append(packed.Rows[count.Cell.Organisation], row)
	}
	return packed
}

// forEach calls visit for each count. It returns errMalformedCounts at the first row with an invalid agent
// index.
func (c Counts) forEach(visit func(usage.Count)) error {
	for organisation, rows := range c.Rows {
		for _, row := range rows {
			if row[0] >= uint64(len(c.Agents)) {
				return errors.Wrap(errMalformedCounts, organisation)
			}
			visit(usage.Count{
				Cell:   usage.Cell{Agent: c.Agents[row[0]], Organisation: organisation, Window: c.Window},
				Amount: usage.Amount{Requests: row[1], Tokens: row[2], ServerTime: time.Duration(row[3])},
			})
		}
	}
	return nil
}
