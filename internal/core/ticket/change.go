package ticket

import (
	"encoding/json"
)

// Part is one immutable piece of the configuration, stored under its content's hash.
type Part struct {
	// Name is the kind and the own name, such as "pool/billdesk".
	Name    string
	Hash    string
	Content json.RawMessage
}

// Change is a head to be written and the parts that have to be written before it.
type Change struct {
	Head Head
	// Parts holds only the parts whose content differs from the view's.
	Parts []Part
}

// Apply returns the change that makes the ticket the next one after the view, or FieldErrors if
// the ticket does not fit the view.
func (v *View) Apply(t Ticket) (Change, error) {
	next := v.with(t)
	if err := next.check(v, t); err != nil {
		return Change{}, err
	}
	digest, err := Digest(t)
	if err != nil {
		return Change{}, err
	}
	change := Change{Head: v.head.clone()}
	if err := change.setAll(t); err != nil {
		return Change{}, err
	}
	for _, version := range t.ModelVersions {
		change.Head.ModelVersions[version.Model] = version
	}
	change.Head.record(digest)
	return change, nil
}

// WithModelVersion returns the head with a newer version of one model under the same last ticket.
func (v *View) WithModelVersion(version ModelVersion) (Head, error) {
	if err := v.checkModelVersion("modelVersion", version); err != nil {
		return Head{}, err
	}
	head := v.head.clone()
	head.ModelVersions[version.Model] = version
	return head, nil
}

// WithUpcoming returns the head with a version that servers are to load beside the one they serve. It must be
// above both that one and any that was announced before.
func (v *View) WithUpcoming(version ModelVersion) (Head, error) {
	if err := v.checkModelVersion("modelVersion", version); err != nil {
		return Head{}, err
	}
	if announced, ok := v.Upcoming(version.Model); ok && version.Version <= announced.Version && version != announced {
		return Head{}, FieldErrors{notAbove("modelVersion", version, announced)}
	}
	head := v.head.clone()
	head.Upcoming[version.Model] = version
	return head, nil
}

// with returns a view with the ticket's parts in place of the old ones; its indexes of keys and
// models are not filled.
func (v *View) with(t Ticket) *View {
	next := emptyView(v.revision, v.head)
	merge(next.organisations, v.organisations, t.Organisations, Organisation.entry)
	merge(next.pools, v.pools, t.Pools, Pool.entry)
	merge(next.trainerJobs, v.trainerJobs, t.TrainerJobs, TrainerJob.entry)
	return next
}

func merge[T any](into, old map[string]T, changed []T, entry func(T) (string, bool)) {
	for name, value := range old {
		into[name] = value
	}
	for _, value := range changed {
		name, removed := entry(value)
		if removed {
			delete(into, name)
			continue
		}
		into[name] = value
	}
}

func (o Organisation) entry() (name string, removed bool) { return o.Name, o.Removed }

func (p Pool) entry() (name string, removed bool) { return p.Name, p.Removed }

func (j TrainerJob) entry() (name string, removed bool) { return j.Name, j.Removed }

func (c *Change) setAll(t Ticket) error {
	if err := setParts(c, organisationPart, t.Organisations, Organisation.entry); err != nil {
		return err
	}
	if err := setParts(c, poolPart, t.Pools, Pool.entry); err != nil {
		return err
	}
	return setParts(c, trainerJobPart, t.TrainerJobs, TrainerJob.entry)
}

func setParts[T any](c *Change, kind string, values []T, entry func(T) (string, bool)) error {
	for _, value := range values {
		own, removed := entry(value)
		name := kind + "/" + own
		if removed {
			delete(c.Head.Parts, name)
			continue
		}
		part, err := newPart(name, value)
		if err != nil {
			return err
		}
		if c.Head.Parts[name] == part.Hash {
			continue
		}
		c.Head.Parts[name] = part.Hash
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
