package buffering

import (
	"slices"
	"testing"
)

// Guards against answers that exceed the memory of the process, and against the end of an answer that holds less than others or that can't be
// endless.
func TestBudgetEndsTheLargestAnswer(t *testing.T) {
	const limit, protected = 100, 10
	type answer struct {
		declared bool
		held     int
	}
	for _, test := range []struct {
		name    string
		answers []answer
		// grow is the index of the answer that grows to size.
		grow, size int
		want       []int
		held       int
	}{
		{name: "within the limit", answers: []answer{{held: 40}, {held: 20}}, grow: 1, size: 60, held: 100},
		{name: "the one that grows is the largest", answers: []answer{{held: 40}, {held: 50}}, grow: 1, size: 61, want: []int{1}, held: 40},
		{name: "another one is the largest", answers: []answer{{held: 20}, {held: 70}}, grow: 0, size: 31, want: []int{1}, held: 31},
		{name: "declared length is ended last", answers: []answer{{declared: true, held: 70}, {held: 20}}, grow: 1, size: 31, want: []int{1}, held: 70},
		{name: "largest of declared length", answers: []answer{{declared: true, held: 70}, {declared: true, held: 20}}, grow: 1, size: 31, want: []int{0}, held: 31},
		{name: "several", answers: []answer{{held: 30}, {held: 40}, {declared: true, held: 20}}, grow: 2, size: 95, want: []int{1, 0}, held: 95},
		{name: "larger than the limit", answers: []answer{{held: 20}}, grow: 0, size: 101, want: []int{0}, held: 0},
		{name: "small answers are protected", answers: []answer{{held: 10}, {held: 10}, {held: 75}}, grow: 0, size: 20, want: []int{2}, held: 30},
		{name: "only small answers", answers: slices.Repeat([]answer{{held: 10}}, 10), grow: 0, size: 10, held: 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			budget := NewBudget(limit, protected)
			var answers []*Answer
			for _, each := range test.answers {
				a := &Answer{Declared: each.declared}
				answers = append(answers, a)
				if ended := budget.Hold(a, each.held); len(ended) > 0 {
					t.Fatalf("ended %v at the start", ended)
				}
			}
			var got []int
			for _, ended := range budget.Hold(answers[test.grow], test.size) {
				got = append(got, slices.Index(answers, ended))
			}
			if !slices.Equal(got, test.want) || budget.Held() != test.held {
				t.Errorf("ended %v, want %v; held %d, want %d", got, test.want, budget.Held(), test.held)
			}
		})
	}
}

func TestSmallAnswersMayExceedTheLimit(t *testing.T) {
	budget := NewBudget(100, 10)
	for range 11 {
		if ended := budget.Hold(&Answer{}, 10); len(ended) > 0 {
			t.Fatalf("ended %v", ended)
		}
	}
}

// Guards against an ended answer that counts again, or is subtracted twice, as its reader goes on for a moment.
func TestEndedAnswerNoLongerCounts(t *testing.T) {
	budget := NewBudget(100, 10)
	other, ended := &Answer{}, &Answer{}
	budget.Hold(other, 40)
	budget.Hold(ended, 61)
	budget.Hold(ended, 80)
	budget.Release(ended)
	if budget.Held() != 40 {
		t.Errorf("held %d, want 40", budget.Held())
	}
	budget.Release(other)
	budget.Release(other)
	if budget.Held() != 0 {
		t.Errorf("held %d after the release", budget.Held())
	}
}

// Guards against the end of an answer that is whole already and waits to be passed on.
func TestCompleteAnswerCountsAndIsNotEnded(t *testing.T) {
	budget := NewBudget(100, 10)
	complete, growing := &Answer{}, &Answer{}
	budget.Hold(complete, 80)
	budget.Complete(complete)
	if ended := budget.Hold(growing, 21); !slices.Equal(ended, []*Answer{growing}) || budget.Held() != 80 {
		t.Errorf("ended %v, held %d", ended, budget.Held())
	}
	budget.Release(complete)
	if budget.Held() != 0 {
		t.Errorf("held %d after the release", budget.Held())
	}
}
