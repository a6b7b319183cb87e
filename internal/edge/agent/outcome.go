package agent

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"

	"github.com/oleandershelf/oleandershelf/internal/core/execution"
	"github.com/oleandershelf/oleandershelf/internal/core/request"
	"github.com/oleandershelf/oleandershelf/internal/core/verdict"
	"github.com/oleandershelf/oleandershelf/internal/edge/peer"
)

// maxOutcome bounds the answer that is kept for a repeat under the same idempotency key; the answer
// to a booking or a billing call is a small document.
const maxOutcome = 16 << 10

// outcome is the answer of a call that ran, kept for a repeat under the same idempotency key.
type outcome struct {
	head request.AnswerHead
	body []byte
	// omitted: the answer was too large to keep.
	omitted bool
}

// add keeps a part of the body, until it grows too large.
func (o *outcome) add(p []byte) {
	if o.omitted || len(o.body)+len(p) > maxOutcome {
		o.omitted = true
		o.body = nil
		return
	}
	o.body = append(o.body, p...)
}

// replay sends the answer again.
func (o *outcome) replay(out peer.Sink) error {
	if o.omitted {
		return verdict.Refuse(verdict.Ran, verdict.ReasonAnswerLost, 0,
			"the call ran; its answer is too large to be repeated")
	}
	if err := out.Head(o.head); err != nil {
		return err
	}
	_, err := out.Write(o.body)
	return err
}

// digest sums up what makes two calls the same.
func digest(q request.Execute) execution.Digest {
	sum := sha256.New()
	for _, part := range [][]byte{[]byte(q.Method), []byte(q.Path), []byte(q.Query), q.Body} {
		writePart(sum, part)
	}
	return execution.Digest(sum.Sum(nil))
}

func writePart(sum hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	sum.Write(length[:])
	sum.Write(part)
}
