package batch

import (
	"strings"
	"testing"
)

// Guards against an output that grows without end, and against one of the largest allowed size that is discarded.
func TestOutputLimit(t *testing.T) {
	for _, test := range []struct {
		name  string
		limit OutputLimit
		event Event
		want  bool
	}{
		{name: "within both", limit: OutputLimit{Bytes: 10, Events: 2}, event: Event{Number: 2, Data: "abcd"}, want: true},
		{name: "too many events", limit: OutputLimit{Bytes: 10, Events: 1}, event: Event{Number: 2, Data: "abcd"}},
		{name: "too many bytes", limit: OutputLimit{Bytes: 10}, event: Event{Number: 2, Data: strings.Repeat("a", 5)}},
		{name: "events unbounded", limit: OutputLimit{Bytes: 10}, event: Event{Number: 2, Data: "abcd"}, want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			output := &Output{}
			output.Append(Event{Number: 1, Data: "12345"}, 1)
			if got := test.limit.Allows(output, test.event); got != test.want {
				t.Errorf("got %v", got)
			}
		})
	}
}
