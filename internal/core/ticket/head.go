package ticket

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

const (
	// HeadObject is the name of the one object whose conditional update accepts a ticket.
	HeadObject = "head"
	// KeptDigests is how many tickets back a repeated ticket is still told from another one with the
	// same number. A client repeats within seconds; 64 tickets are about 18 minutes at 0.06 a second.
	KeptDigests = 64
)

// Head is the root of the configuration: which ticket came last and which content each part has.
type Head struct {
	LastTicket int `json:"lastTicket"`
	// Digests of the last tickets, oldest first; the last one is that of LastTicket.
	Digests []string `json:"digests,omitempty"`
	// Parts maps the name of each part to the hash of its content.
	Parts map[string]string `json:"parts,omitempty"`
	// ModelVersions holds the version to serve by model.
	ModelVersions map[string]ModelVersion `json:"modelVersions,omitempty"`
	// Upcoming holds the version that servers are to load beside the one they serve, by model. An entry that is
	// not above the version to serve has no meaning any more.
	Upcoming map[string]ModelVersion `json:"upcoming,omitempty"`
}

// ReadHead decodes the value of the head object. Fields of later releases are ignored, so that
// hosts of two releases can run side by side.
func ReadHead(value []byte) (Head, error) {
	var head Head
	if err := json.Unmarshal(value, &head); err != nil {
		return Head{}, errors.Wrap(err, HeadObject)
	}
	if len(head.Digests) > KeptDigests || len(head.Digests) > head.LastTicket {
		return Head{}, errors.Errorf("%s: %d digests for last ticket %d", HeadObject, len(head.Digests), head.LastTicket)
	}
	return head, nil
}

// Value encodes the head for the object API.
func (h Head) Value() (json.RawMessage, error) {
	value, err := json.Marshal(h)
	return value, errors.Wrap(err, HeadObject)
}

// clone returns a copy that shares nothing that a change would write to.
func (h Head) clone() Head {
	h.Digests = slices.Clone(h.Digests)
	h.Parts = maps.Clone(h.Parts)
	h.ModelVersions = maps.Clone(h.ModelVersions)
	h.Upcoming = maps.Clone(h.Upcoming)
	if h.Upcoming == nil {
		h.Upcoming = map[string]ModelVersion{}
	}
	if h.Parts == nil {
		h.Parts = map[string]string{}
	}
	if h.ModelVersions == nil {
		h.ModelVersions = map[string]ModelVersion{}
	}
	return h
}

// record appends the digest of the next ticket and drops the oldest one beyond KeptDigests.
func (h *Head) record(digest string) {
	h.LastTicket++
	h.Digests = append(h.Digests, digest)
	if extra := len(h.Digests) - KeptDigests; extra > 0 {
		h.Digests = slices.Clone(h.Digests[extra:])
	}
}
