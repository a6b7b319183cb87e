package usage_test

import (
	"fmt"
	"testing"

	"github.com/oleandershelf/oleandershelf/internal/core/usage"
)

// newFilledLedger returns a ledger with one window and a cell for each agent and organisation.
func newFilledLedger(agents, organisations int) *usage.Ledger {
	ledger := usage.NewLedger()
	for agent := range agents {
		for organisation := range organisations {
			cell := usage.Cell{Agent: uint64(agent), Organisation: fmt.Sprintf("organisation-%d", organisation)}
			ledger.Merge(usage.Count{Cell: cell, Amount: amount(1)})
		}
	}
	return ledger
}

func BenchmarkMerge(b *testing.B) {
	for _, agents := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("cells=%d", agents*8), func(b *testing.B) {
			counts := newFilledLedger(agents, 8).Counts()
			ledger := usage.NewLedger()
			i := 0
			for b.Loop() {
				ledger.Merge(counts[i%len(counts)])
				i++
			}
		})
	}
}

func BenchmarkSums(b *testing.B) {
	for _, agents := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("cells=%d", agents*8), func(b *testing.B) {
			counts := newFilledLedger(agents, 8).Counts()
			for b.Loop() {
				tally := usage.NewTally()
				for _, count := range counts {
					tally.Merge(count)
				}
				tally.Sums()
			}
		})
	}
}
