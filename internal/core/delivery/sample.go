// Package delivery is the state of a trainer job: its steps, samples and batches, the job object
// in the platform that orders batches and model versions, and the cursor that a trainer carries.
//
// Load pattern: a step asks for hundreds of samples at once, weights change every few minutes, and
// the coordinator, the platform or an answer may be lost between any two moves. Without this
// package a restarted coordinator would hand out a sample twice, or one made by weights older
// than the staleness bound. The bound and the batch size come from the trainer job's ticket; the
// package has no other tunable figure than the number of past steps kept (see pastSteps).
package delivery

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// SampleID names a sample for all time.
type SampleID struct {
	Job   string
	Step  int
	Group int
	Index int
}

// String returns job, step, group and index, separated by slashes.
func (i SampleID) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", i.Job, i.Step, i.Group, i.Index)
}

// Attempt returns the name under which an engine generates the sample. A sample that was thrown
// away as stale gets a name of its own, because generation is idempotent by name.
func (i SampleID) Attempt(attempt int) string {
	if attempt == 0 {
		return i.String()
	}
	return fmt.Sprintf("%s/r%d", i, attempt)
}

// SampleState is how far a sample has come.
type SampleState int

// The states in their order; a stale sample goes back to StatePending.
const (
	StatePending SampleState = iota
	StateGenerating
	StateGenerated
	StateCopied
	StateScored
	StateBatched
	StateDelivered
)

var stateNames = [...]string{"pending", "generating", "generated", "copied", "scored", "batched", "delivered"}

// String returns the camel-case name.
func (s SampleState) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("sampleState(%d)", int(s))
	}
	return stateNames[s]
}

// States returns all states in their order.
func States() []SampleState {
	return []SampleState{
		StatePending, StateGenerating, StateGenerated, StateCopied, StateScored, StateBatched, StateDelivered,
	}
}

// Token is one generated token and the weight version that produced it.
type Token struct {
	Text    string `json:"text" msgpack:"t"`
	Version int    `json:"version" msgpack:"v"`
}

// Span says which weight version produced the tokens from From up to, and without, To.
type Span struct {
	Version int `json:"version" msgpack:"v"`
	From    int `json:"from" msgpack:"f"`
	To      int `json:"to" msgpack:"t"`
}

// Spans joins neighbouring tokens of one version.
func Spans(tokens []Token) []Span {
	spans := []Span{}
	for i, token := range tokens {
		last := len(spans) - 1
		if last >= 0 && spans[last].Version == token.Version {
			spans[last].To = i + 1
			continue
		}
		spans = append(spans, Span{Version: token.Version, From: i, To: i + 1})
	}
	return spans
}

// Oldest returns the oldest weight version among the tokens; ok is false if there are none.
func Oldest(tokens []Token) (version int, ok bool) {
	for i, token := range tokens {
		if i == 0 || token.Version < version {
			version = token.Version
		}
	}
	return version, len(tokens) > 0
}

// Text joins the tokens.
func Text(tokens []Token) string {
	var b strings.Builder
	for _, token := range tokens {
		b.WriteString(token.Text)
	}
	return b.String()
}

// Content is a finished sample as it is copied to a second host. Its digest names it, so that two
// coordinators that generated the same sample differently never take one content for the other.
type Content struct {
	SampleID string `json:"sampleId"`
	Group    int    `json:"group"`
	Index    int    `json:"index"`
	Prompt   string `json:"prompt"`
	Text     string `json:"text"`
	Spans    []Span `json:"spans"`
}

// Encode returns the stable bytes of the content and their digest.
func (c Content) Encode() (raw []byte, digest string, err error) {
	raw, err = json.Marshal(c)
	if err != nil {
		return nil, "", errors.Wrapf(err, "sample %s", c.SampleID)
	}
	return raw, Digest(raw), nil
}

// Digest returns the lower-case hexadecimal SHA-256 of raw.
func Digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}
