package ticket

import "maps"

// Delta is the difference between a head and a later one. A head of a thousand organisations takes 100 KB, so
// that a relay that sent complete heads to 58 followers would send several megabytes for each ticket.
type Delta struct {
	LastTicket int `json:"lastTicket"`
	// Digests are the digests of the tickets accepted in between, oldest first.
	Digests []string `json:"digests,omitempty"`
	// Parts maps the names of new and changed parts to their content hashes; Removed names the removed ones.
	Parts         map[string]string       `json:"parts,omitempty"`
	Removed       []string                `json:"removed,omitempty"`
	ModelVersions map[string]ModelVersion `json:"modelVersions,omitempty"`
	Upcoming      map[string]ModelVersion `json:"upcoming,omitempty"`
}

// DeltaTo returns the difference between this head and a later one.
func (h Head) DeltaTo(next Head) Delta {
	delta := Delta{
		LastTicket:    next.LastTicket,
		Digests:       next.Digests[max(0, len(next.Digests)-(next.LastTicket-h.LastTicket)):],
		Parts:         map[string]string{},
		ModelVersions: changedVersions(h.ModelVersions, next.ModelVersions),
		Upcoming:      changedVersions(h.Upcoming, next.Upcoming),
	}
	for name, hash := range next.Parts {
		if h.Parts[name] != hash {
			delta.Parts[name] = hash
		}
	}
	for name := range h.Parts {
		if _, ok := next.Parts[name]; !ok {
			delta.Removed = append(delta.Removed, name)
		}
	}
	return delta
}

// changedVersions returns the versions that are new or differ. Versions are never removed.
func changedVersions(old, next map[string]ModelVersion) map[string]ModelVersion {
	changed := map[string]ModelVersion{}
	for model, version := range next {
		if old[model] != version {
			changed[model] = version
		}
	}
	return changed
}

// Patch returns the head with the delta applied.
func (h Head) Patch(delta Delta) Head {
	next := h.clone()
	next.LastTicket = delta.LastTicket
	next.Digests = append(next.Digests, delta.Digests...)
	next.Digests = next.Digests[max(0, len(next.Digests)-KeptDigests):]
	for name, hash := range delta.Parts {
		next.Parts[name] = hash
	}
	for _, name := range delta.Removed {
		delete(next.Parts, name)
	}
	maps.Copy(next.ModelVersions, delta.ModelVersions)
	maps.Copy(next.Upcoming, delta.Upcoming)
	return next
}
