package ticket

import (
	"encoding/json"
)

// Part is the configuration of one organisation, pool or trainer job. Parts are immutable and stored under
// the hash of their content.
type Part struct {
	// Name is the kind and the name of the entry, such as "pool/billdesk".
	Name    string
	Hash    string
	Content json.RawMessage
}

// Change is a new head and the parts that have to be stored before it.
type Change struct {
	Head Head
	// Parts holds only the parts whose content differs from that in the current view.
	Parts []Part
}

// Apply returns the change that accepts the ticket as the next one after the view, or FieldErrors if
// the ticket contradicts the configuration in the view.
func (v *View) Apply(t Ticket) (Change, error) {
	next := v.withTicket(t)
	if err := next.check(v, t); err != nil {
		return Change{}, err
	}
	digest, err := Digest(t)
	if err != nil {
		return Change{}, err
	}
	change := Change{Head: v.head.clone()}
	if err := change.setAllParts(t); err != nil {
		return Change{}, err
	}
	for _, version := range t.ModelVersions {
		change.Head.ModelVersions[version.Model] = version
	}
	change.Head.recordTicket(digest)
	return change, nil
}

// WithModelVersion returns the head with a newer version of one model. The number of the last ticket stays the
// same. It returns FieldErrors if no pool serves the model, or if the version is neither above the current one nor
// equal to it.
func (v *View) WithModelVersion(version ModelVersion) (Head, error) {
	if err := v.checkModelVersion("modelVersion", version); err != nil {
		return Head{}, err
	}
	head := v.head.clone()
	head.ModelVersions[version.Model] = version
	return head, nil
}

// WithUpcomingVersion returns the head with a version that servers load in advance while they serve the current
// one. It returns FieldErrors unless the version is above both the current and the previously announced one, or
// repeats one of them.
func (v *View) WithUpcomingVersion(version ModelVersion) (Head, error) {
	if err := v.checkModelVersion("modelVersion", version); err != nil {
		return Head{}, err
	}
	if announced, ok := v.UpcomingVersion(version.Model); ok && version.Version <= announced.Version && version != announced {
		return Head{}, FieldErrors{versionNotAbove("modelVersion", version, announced)}
	}
	head := v.head.clone()
	head.Upcoming[version.Model] = version
	return head, nil
}

// withTicket returns a view in which the ticket's entries replace the old ones. Its indexes of keys and
// models stay empty.
func (v *View) withTicket(t Ticket) *View {
	next := viewWithoutParts(v.revision, v.head)
	mergeEntries(next.organisations, v.organisations, t.Organisations, Organisation.nameAndRemoved)
	mergeEntries(next.pools, v.pools, t.Pools, Pool.nameAndRemoved)
	mergeEntries(next.trainerJobs, v.trainerJobs, t.TrainerJobs, TrainerJob.nameAndRemoved)
	return next
}

func mergeEntries[T any](merged, old map[string]T, changed []T, nameAndRemoved func(T) (string, bool)) {
	for name, value := range old {
		merged[name] = value
	}
	for _, value := range changed {
		name, removed := nameAndRemoved(value)
		if removed {
			delete(merged, name)
			continue
		}
		merged[name] = value
	}
}

func (o Organisation) nameAndRemoved() (name string, removed bool) { return o.Name, o.Removed }

func (p Pool) nameAndRemoved() (name string, removed bool) { return p.Name, p.Removed }

func (j TrainerJob) nameAndRemoved() (name string, removed bool) { return j.Name, j.Removed }

func (c *Change) setAllParts(t Ticket) error {
	if err := setParts(c, organisationPart, t.Organisations, Organisation.nameAndRemoved); err != nil {
		return err
	}
	if err := setParts(c, poolPart, t.Pools, Pool.nameAndRemoved); err != nil {
		return err
	}
	return setParts(c, trainerJobPart, t.TrainerJobs, TrainerJob.nameAndRemoved)
}

func setParts[T any](c *Change, kind string, values []T, nameAndRemoved func(T) (string, bool)) error {
	for _, value := range values {
		entryName, removed := nameAndRemoved(value)
		partName := kind + "/" + entryName
		if removed {
			delete(c.Head.Parts, partName)
			continue
		}
		part, err := newPart(partName, value)
		if err != nil {
			return err
		}
		if c.Head.Parts[partName] == part.Hash {
			continue
		}
		c.Head.Parts[partName] = part.Hash
		c.Parts = append(c.Parts, part)
	}
	return nil
}

func newPart(name string, value any) (Part, error) {
	content, err := json.Marshal(value)
	if err != nil {
		return Part{}, err
	}
	hash, err := ContentHash(content)
	return Part{Name: name, Hash: hash, Content: content}, err
}
