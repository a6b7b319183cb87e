package peer

import (
	"testing"
	"time"

	"github.com/pkg/errors"
)

// Guards against a lost connection whose cause can't be told from logs and metrics: which timer acted, on which side, and how many requests
// were open.
func TestEndOfAConnectionIsReported(t *testing.T) {
	for _, test := range []struct {
		name string
		fail func(p *proxy)
		want EndReason
	}{
		{name: "cut", fail: (*proxy).cut, want: EndPeerClosed},
		{name: "silent", fail: func(p *proxy) { close(p.frozen) }, want: EndSilent},
	} {
		t.Run(test.name, func(t *testing.T) {
			ends := make(chan ConnectionEnd, 10)
			peers := newTestPeers(t, WithHeartbeat(20*time.Millisecond, 100*time.Millisecond), WithEndObserver(func(e ConnectionEnd) { ends <- e }))
			p, address := newProxy(t, peers.address, func(f frame) []frame { return []frame{f} })
			answer, err := OpenStream[text, text](t.Context(), peers.client, address, methodHold, text{})
			if err != nil {
				t.Fatal(err)
			}
			test.fail(p)
			if _, err := answer.Next(); !errors.Is(err, ErrLost) {
				t.Errorf("got error %v, not ErrLost", err)
			}
			for range 2 {
				end := <-ends
				if end.Dialled && end.Reason != test.want || end.Requests != 1 {
					t.Errorf("reported end %+v", end)
				}
			}
		})
	}
}

func TestEndReason(t *testing.T) {
	for _, test := range []struct {
		cause error
		want  EndReason
	}{
		{errors.Wrap(ErrFrozen, "read frame"), EndFrozen},
		{errors.Wrap(ErrStalled, "write frames"), EndStalled},
		{errors.Wrap(ErrTooLarge, "read frame"), EndProtocol},
		{ErrClosed, EndClosed},
		{errors.New("no route to host"), EndOther},
	} {
		if got := endReason(test.cause); got != test.want {
			t.Errorf("%v: got %s, want %s", test.cause, got, test.want)
		}
	}
}
