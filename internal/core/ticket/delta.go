package ticket

import "maps"

// Delta is what leads from one head to a later one. A head of a thousand organisations takes 100 KB;
// a relay that sent it to 58 followers at each ticket would send several megabytes.
type Delta struct {
	LastTicket int `json:"lastTicket"`
	// Digests are those of the tickets in between, oldest first.
	Digests []string `json:"digests,omitempty"`
	// Parts are those with another content; Removed names those that are gone.
	Parts         map[string]string       `json:"parts,omitempty"`
	Removed       []string                `json:"removed,omitempty"`
	ModelVersions map[string]ModelVersion `json:"modelVersions,omitempty"`
	Upcoming      map[string]ModelVersion `json:"upcoming,omitempty"`
}

// DeltaTo returns what leads from this head to a later one.
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

// changedVersions returns the versions that differ; a version is never taken out again.
func changedVersions(old, next map[string]ModelVersion) map[string]ModelVersion {
	changed := map[string]ModelVersion{}
	for model, version := range next {
		if old[model] != version {
			changed[model] = version
		}
	}
	return changed
}

// Patch returns the head that the delta leads to.
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
