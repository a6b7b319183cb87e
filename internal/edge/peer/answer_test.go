package peer

import (
	"testing"

	"github.com/pkg/errors"
)

// Guards against failing all requests that wait to be written when their connection ends, and against sending one again that may have run.
func TestOnlyUnsentRequestsAreSentAgain(t *testing.T) {
	for _, test := range []struct {
		name      string
		failures  []error
		wantSends int
		want      error
	}{
		{name: "not sent", failures: []error{ErrUnsent}, wantSends: 2},
		{name: "never sent", failures: []error{ErrUnsent, ErrUnsent, ErrUnsent, ErrUnsent}, wantSends: maxSends, want: ErrUnsent},
		{name: "answer lost", failures: []error{ErrLost}, wantSends: 1, want: ErrLost},
	} {
		t.Run(test.name, func(t *testing.T) {
			peers := newTestPeers(t)
			sends := 0
			s, err := send(t.Context(), peers.client, peers.address, methodEcho, text{}, func(s *clientStream) error {
				if sends++; sends <= len(test.failures) {
					return errors.Wrap(test.failures[sends-1], "the connection ended")
				}
				return s.await(func() bool { return s.end != nil })
			})
			if s != nil {
				s.finish()
			}
			if sends != test.wantSends || !errors.Is(err, test.want) {
				t.Errorf("sent %d times, error %v", sends, err)
			}
		})
	}
}
