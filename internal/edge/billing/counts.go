package billing

import (
	"time"

	"github.com/pkg/errors"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
)

// countsKind says which of the two objects of a part holds a count.
type countsKind string

const (
	// whole holds all counts of the part at the time of its last write.
	whole countsKind = "whole"
	// recent holds those that have grown since.
	recent countsKind = "recent"
)

// errCounts: an object names an agent that it doesn't list, or another window than its name does.
var errCounts = errors.New("malformed counts object")

// Counts is the content of one counts object: counts of one window. Relays write one every few seconds, so each
// name stands in it once and a count is a row of numbers.
type Counts struct {
	// Window is the start of the window in Unix seconds.
	Window int64 `json:"window"`
	// Agents are the incarnations to which the rows refer.
	Agents []uint64 `json:"agents"`
	// Rows are the counts of each organisation.
	Rows map[string][]Row `json:"rows"`
}

// Row is a count: the agent's place among the agents, then requests, tokens and nanoseconds of server time.
type Row [4]uint64

// packCounts takes the counts of the window together.
func packCounts(window int64, counts []usage.Count) Counts {
	packed := Counts{Window: window, Agents: []uint64{}, Rows: map[string][]Row{}}
	places := make(map[uint64]uint64)
	for _, count := range counts {
		place, ok := places[count.Cell.Agent]
		if !ok {
			place = uint64(len(packed.Agents))
			places[count.Cell.Agent] = place
			packed.Agents = append(packed.Agents, count.Cell.Agent)
		}
		amount := count.Amount
		row := Row{place, amount.Requests, amount.Tokens, uint64(max(amount.ServerTime, 0))}
		packed.Rows[count.Cell.Organisation] = append(packed.Rows[count.Cell.Organisation], row)
	}
	return packed
}

// each calls the function for each count.
func (c Counts) each(visit func(usage.Count)) error {
	for organisation, rows := range c.Rows {
		for _, row := range rows {
			if row[0] >= uint64(len(c.Agents)) {
				return errors.Wrap(errCounts, organisation)
			}
			visit(usage.Count{
				Cell:   usage.Cell{Agent: c.Agents[row[0]], Organisation: organisation, Window: c.Window},
				Amount: usage.Amount{Requests: row[1], Tokens: row[2], ServerTime: time.Duration(row[3])},
			})
		}
	}
	return nil
}
