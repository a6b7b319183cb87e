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

// ErrInvalidCursor is returned for a cursor that is malformed or was not signed by this system.
var ErrInvalidCursor = errors.New("delivery cursor")

// Cursor is the trainer's position in a job, signed by the coordinator that issued it. The trainer is the only
// consumer of the job and sends its newest cursor with each request, so the cursor preserves the state of the
// delivery through an outage of the platform.
type Cursor struct {
	Job    string `json:"job"`
	Step   int    `json:"step"`
	Digest string `json:"digest"`
	// Batch is the batch that came with the cursor; 0 before the first.
	Batch int `json:"batch"`
	// Delivered is the set of samples in the batches up to and including Batch.
	Delivered Bitmap `json:"delivered"`
	// Complete means that Batch is the last batch of the step.
	Complete bool `json:"complete,omitempty"`
	// ModelVersion is the newest model version that the coordinator knew of.
	ModelVersion int `json:"modelVersion"`
	// Fencing is the fencing number of the coordinator's lease.
	Fencing uint64 `json:"fencing"`
	// ManifestLocation locates the manifest of Batch if it was not in the job object when the batch was sent.
	ManifestLocation *ManifestLocation `json:"kept,omitempty"`
}

// ManifestLocation locates a manifest that is stored on hosts, addressed by its digest like the content of a
// sample.
//
// It guards against this failure: a batch is sent in an outage, and another coordinator takes over the
// job before the batch is written. The samples are on two hosts, but only the former coordinator knew which of
// them the batch contains and with which scores, so the successor would have to refuse a repeated request for
// the batch permanently. The manifest itself is too long for an HTTP header.
type ManifestLocation struct {
	Digest string           `json:"digest"`
	Hosts  []netip.AddrPort `json:"hosts"`
}

// Sign returns the header value: the cursor's JSON and its HMAC-SHA-256, each in unpadded URL-safe base64 and
// separated by a dot.
func (c Cursor) Sign(secret []byte) (string, error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return "", errors.Wrapf(err, "delivery cursor of job %s", c.Job)
	}
	encoding := base64.RawURLEncoding
	return encoding.EncodeToString(raw) + "." + encoding.EncodeToString(computeMAC(secret, raw)), nil
}

// ParseCursor verifies the signature of a header value and decodes the cursor. Errors wrap ErrInvalidCursor.
func ParseCursor(secret []byte, text string) (Cursor, error) {
	body, signature, found := strings.Cut(text, ".")
	if !found {
		return Cursor{}, errors.Wrap(ErrInvalidCursor, "no signature")
	}
	raw, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil {
		return Cursor{}, errors.Wrapf(ErrInvalidCursor, "body: %v", err)
	}
	sum, err := base64.RawURLEncoding.DecodeString(signature)
	if err != nil {
		return Cursor{}, errors.Wrapf(ErrInvalidCursor, "signature: %v", err)
	}
	// A forged cursor could mark undelivered samples as delivered, which would lose them permanently.
	if !hmac.Equal(sum, computeMAC(secret, raw)) {
		return Cursor{}, errors.Wrap(ErrInvalidCursor, "signature does not match")
	}
	var cursor Cursor
	if err := json.Unmarshal(raw, &cursor); err != nil {
		return Cursor{}, errors.Wrapf(ErrInvalidCursor, "%v", err)
	}
	return cursor, nil
}

func computeMAC(secret, raw []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write(raw)
	return mac.Sum(nil)
}
