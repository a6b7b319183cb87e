package ticket

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

const (
	// HeadObject is the name of the object that stores the head. A conditional update of it accepts a ticket.
	HeadObject = "head"
	// KeptDigests is the number of ticket digests that a head keeps. They tell a repeated ticket from another
	// one with the same number. A client repeats a ticket within seconds; 64 tickets take about 18 minutes at
	// 0.06 a second.
	KeptDigests = 64
)

// Head is the root of the configuration. It holds the number of the last accepted ticket and the content hash
// of each part.
type Head struct {
	LastTicket int `json:"lastTicket"`
	// Digests are the digests of the last tickets, oldest first, up to that of LastTicket.
	Digests []string `json:"digests,omitempty"`
	// Parts maps the name of each part to the hash of its content.
	Parts map[string]string `json:"parts,omitempty"`
	// ModelVersions maps each model to the version to serve.
	ModelVersions map[string]ModelVersion `json:"modelVersions,omitempty"`
	// Upcoming maps models to the version that servers load in advance while they serve the current one. An
	// entry that isn't above the version to serve is obsolete.
	Upcoming map[string]ModelVersion `json:"upcoming,omitempty"`
}

// DecodeHead decodes the value of the head object. It ignores fields that later releases add, so that hosts of
// two releases can run side by side. It returns an error if the number of digests is impossible.
func DecodeHead(value []byte) (Head, error) {
	var head Head
	if err := json.Unmarshal(value, &head); err != nil {
		return Head{}, errors.Wrap(err, HeadObject)
	}
	if len(head.Digests) > KeptDigests || len(head.Digests) > head.LastTicket {
		return Head{}, errors.Errorf("%s: %d digests for last ticket %d", HeadObject, len(head.Digests), head.LastTicket)
	}
	return head, nil
}

// Encode returns the head as the value of the head object.
func (h Head) Encode() (json.RawMessage, error) {
	value, err := json.Marshal(h)
	return value, errors.Wrap(err, HeadObject)
}

// clone returns a copy that shares no map or slice with the head. Its maps are never nil.
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

// recordTicket advances the head by one ticket with the given digest and drops the oldest digest beyond
// KeptDigests.
func (h *Head) recordTicket(digest string) {
	h.LastTicket++
	h.Digests = append(h.Digests, digest)
	if extra := len(h.Digests) - KeptDigests; extra > 0 {
		h.Digests = slices.Clone(h.Digests[extra:])
	}
}
