package delivery

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"net/netip"
	"strings"

	"github.com/pkg/errors"
)

// ErrCursor is returned for a cursor that was not signed by this system.
var ErrCursor = errors.New("delivery cursor")

// Cursor is what the trainer has, signed by the coordinator that gave it out. The trainer is the
// one consumer of a job and sends its newest cursor with each request, so it carries the state of
// the delivery through an outage of the platform.
type Cursor struct {
	Job    string `json:"job"`
	Step   int    `json:"step"`
	Digest string `json:"digest"`
	// Batch is the batch that came with the cursor; 0 before the first.
	Batch int `json:"batch"`
	// Delivered holds the samples of the batches up to Batch.
	Delivered Bitmap `json:"delivered"`
	// Complete says that Batch is the last one of the step.
	Complete bool `json:"complete,omitempty"`
	// ModelVersion is the newest that the coordinator knew of.
	ModelVersion int `json:"modelVersion"`
	// Fencing is the fencing number of the coordinator's lease.
	Fencing uint64 `json:"fencing"`
	// Kept is where the manifest of Batch is, if it was not in the job object when the batch was handed out.
	Kept *Kept `json:"kept,omitempty"`
}

// Kept names a manifest that hosts hold as a content.
//
// Failure: a batch is handed out in an outage, and another coordinator takes the job before the batch is written. The
// samples are on two hosts, but which of them the batch has, with which scores, was known to the former coordinator only:
// asked for the batch again, the successor could but refuse for good. The manifest itself is too long for a header.
type Kept struct {
	Digest string           `json:"digest"`
	Hosts  []netip.AddrPort `json:"hosts"`
}

// Sign returns the header value: the cursor's JSON and its HMAC-SHA-256, in URL-safe base64.
func (c Cursor) Sign(secret []byte) (string, error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return "", errors.Wrapf(err, "delivery cursor of job %s", c.Job)
	}
	encoding := base64.RawURLEncoding
	return encoding.EncodeToString(raw) + "." + encoding.EncodeToString(seal(secret, raw)), nil
}

// ParseCursor verifies a header value.
func ParseCursor(secret []byte, text string) (Cursor, error) {
	body, signature, found := strings.Cut(text, ".")
	if !found {
		return Cursor{}, errors.Wrap(ErrCursor, "no signature")
	}
	raw, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil {
		return Cursor{}, errors.Wrapf(ErrCursor, "body: %v", err)
	}
	sum, err := base64.RawURLEncoding.DecodeString(signature)
	if err != nil {
		return Cursor{}, errors.Wrapf(ErrCursor, "signature: %v", err)
	}
	// A forged cursor could name undelivered samples as delivered, which would lose them for good.
	if !hmac.Equal(sum, seal(secret, raw)) {
		return Cursor{}, errors.Wrap(ErrCursor, "signature does not match")
	}
	var cursor Cursor
	if err := json.Unmarshal(raw, &cursor); err != nil {
		return Cursor{}, errors.Wrapf(ErrCursor, "%v", err)
	}
	return cursor, nil
}

func seal(secret, raw []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write(raw)
	return mac.Sum(nil)
}
