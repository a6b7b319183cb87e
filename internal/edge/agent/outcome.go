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

// maxStoredBody is the maximum size in bytes of an answer body that is stored for a repeat with the same idempotency
// key. The answer to a booking or a billing call is a small document.
const maxStoredBody = 16 << 10

// outcome is the answer of a call that ran, stored for a repeat with the same idempotency key.
type outcome struct {
	head request.AnswerHead
	body []byte
	// bodyTooLarge is set if the body exceeds maxStoredBody and was not stored.
	bodyTooLarge bool
}

// appendBody appends a part of the body. It discards the complete body once it exceeds maxStoredBody.
func (o *outcome) appendBody(p []byte) {
	if o.bodyTooLarge || len(o.body)+len(p) > maxStoredBody {
		o.bodyTooLarge = true
		o.body = nil
		return
	}
	o.body = append(o.body, p...)
}

// replay sends the stored answer. It refuses if the body was too large to store.
func (o *outcome) replay(out peer.Sink) error {
	if o.bodyTooLarge {
		return verdict.Refuse(verdict.Ran, verdict.ReasonAnswerLost, 0,
			"the call ran; its answer is too large to be repeated")
	}
	if err := out.Head(o.head); err != nil {
		return err
	}
	_, err := out.Write(o.body)
	return err
}

// callDigest returns the digest of the method, path, query and body, by which two calls are compared.
func callDigest(req request.Execute) execution.Digest {
	sum := sha256.New()
	for _, part := range [][]byte{[]byte(req.Method), []byte(req.Path), []byte(req.Query), req.Body} {
		writeLengthPrefixed(sum, part)
	}
	return execution.Digest(sum.Sum(nil))
}

func writeLengthPrefixed(sum hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	sum.Write(length[:])
	sum.Write(part)
}
