package ticket

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// ErrPartMissing is returned when a head names a part whose content is not at hand.
var ErrPartMissing = errors.New("part is missing")

// The kinds of parts; a part's name is its kind, a slash and its own name.
const (
	organisationPart = "organisation"
	poolPart         = "pool"
	trainerJobPart   = "trainerJob"
)

// View is the whole configuration at one revision. It never changes, so that any number of
// goroutines may read it; a new revision is a new View.
type View struct {
	revision      uint64
	head          Head
	organisations map[string]Organisation
	pools         map[string]Pool
	modelPools    map[string]string
	trainerJobs   map[string]TrainerJob
	keys          map[keyPrefix][]keyOwner
}

// keyPrefix is the part of a key's hash that the table of keys is indexed by.
type keyPrefix [8]byte

type keyOwner struct {
	sum          [sha256.Size]byte
	organisation string
}

// NewView reads the parts that head names from parts, which is indexed by content hash.
// Revision is the version of the head object.
func NewView(revision uint64, head Head, parts map[string][]byte) (*View, error) {
	view := emptyView(revision, head.clone())
	for name, hash := range head.Parts {
		content, ok := parts[hash]
		if !ok {
			return nil, errors.Wrapf(ErrPartMissing, "%s, content %s", name, hash)
		}
		if err := view.readPart(name, content); err != nil {
			return nil, err
		}
	}
	if err := view.index(); err != nil {
		return nil, err
	}
	return view, nil
}

// Empty is the view before the first ticket.
func Empty() *View {
	return emptyView(0, Head{}.clone())
}

func emptyView(revision uint64, head Head) *View {
	return &View{
		revision:      revision,
		head:          head,
		organisations: map[string]Organisation{},
		pools:         map[string]Pool{},
		modelPools:    map[string]string{},
		trainerJobs:   map[string]TrainerJob{},
		keys:          map[keyPrefix][]keyOwner{},
	}
}

func (v *View) readPart(name string, content []byte) error {
	kind, _, _ := strings.Cut(name, "/")
	switch kind {
	case organisationPart:
		return readInto(v.organisations, name, content, func(o Organisation) string { return o.Name })
	case poolPart:
		return readInto(v.pools, name, content, func(p Pool) string { return p.Name })
	case trainerJobPart:
		return readInto(v.trainerJobs, name, content, func(j TrainerJob) string { return j.Name })
	default:
		return errors.Errorf("part %s: unknown kind", name)
	}
}

func readInto[T any](table map[string]T, name string, content []byte, nameOf func(T) string) error {
	var part T
	if err := json.Unmarshal(content, &part); err != nil {
		return errors.Wrapf(err, "part %s", name)
	}
	_, own, _ := strings.Cut(name, "/")
	if nameOf(part) != own {
		return errors.Errorf("part %s holds %q", name, nameOf(part))
	}
	table[own] = part
	return nil
}

// index builds the tables that are derived from the parts.
func (v *View) index() error {
	for _, pool := range v.pools {
		if pool.Kind == KindModel {
			v.modelPools[pool.Model] = pool.Name
		}
	}
	for _, organisation := range v.organisations {
		for _, keyHash := range organisation.KeyHashes {
			sum, err := readSum(keyHash)
			if err != nil {
				return errors.Wrapf(err, "organisation %s", organisation.Name)
			}
			prefix := keyPrefix(sum[:len(keyPrefix{})])
			v.keys[prefix] = append(v.keys[prefix], keyOwner{sum: sum, organisation: organisation.Name})
		}
	}
	return nil
}

func readSum(keyHash string) ([sha256.Size]byte, error) {
	var sum [sha256.Size]byte
	raw, err := hex.DecodeString(keyHash)
	if err != nil || len(raw) != len(sum) {
		return sum, errors.Errorf("key hash of %d characters is not a SHA-256 in hexadecimal", len(keyHash))
	}
	copy(sum[:], raw)
	return sum, nil
}

// Revision is the version of the head object that the view was built from; 0 for none.
func (v *View) Revision() uint64 { return v.revision }

// LastTicket is the number of the last ticket in the view.
func (v *View) LastTicket() int { return v.head.LastTicket }

// Head returns a copy of the head that the view was built from.
func (v *View) Head() Head { return v.head.clone() }

// Authenticate returns the organisation that owns the key, and the key's hash.
// Only hashes are compared, and those in constant time, so that the time taken tells a caller
// nothing about how near a guess came.
func (v *View) Authenticate(key string) (Organisation, string, bool) {
	sum := sha256.Sum256([]byte(key))
	owner, ok := v.owner(sum)
	if !ok {
		return Organisation{}, "", false
	}
	return v.organisations[owner], hex.EncodeToString(sum[:]), true
}

// KeyValid reports whether the key with this hash still belongs to the organisation.
func (v *View) KeyValid(organisation, keyHash string) bool {
	sum, err := readSum(keyHash)
	if err != nil {
		return false
	}
	owner, ok := v.owner(sum)
	return ok && owner == organisation
}

func (v *View) owner(sum [sha256.Size]byte) (string, bool) {
	found := ""
	ok := false
	for _, candidate := range v.keys[keyPrefix(sum[:len(keyPrefix{})])] {
		if subtle.ConstantTimeCompare(candidate.sum[:], sum[:]) == 1 {
			found, ok = candidate.organisation, true
		}
	}
	return found, ok
}

// Organisation returns the organisation of that name.
func (v *View) Organisation(name string) (Organisation, bool) {
	organisation, ok := v.organisations[name]
	return organisation, ok
}

// Organisations returns all organisations, sorted by name.
func (v *View) Organisations() []Organisation { return sortedValues(v.organisations) }

// Pool returns the pool of that name.
func (v *View) Pool(name string) (Pool, bool) {
	pool, ok := v.pools[name]
	return pool, ok
}

// Pools returns all pools, sorted by name.
func (v *View) Pools() []Pool { return sortedValues(v.pools) }

// ModelPool returns the pool that serves the model.
func (v *View) ModelPool(model string) (Pool, bool) {
	name, ok := v.modelPools[model]
	if !ok {
		return Pool{}, false
	}
	return v.Pool(name)
}

// TrainerJob returns the trainer job of that name.
func (v *View) TrainerJob(name string) (TrainerJob, bool) {
	job, ok := v.trainerJobs[name]
	return job, ok
}

// TrainerJobs returns all trainer jobs, sorted by name.
func (v *View) TrainerJobs() []TrainerJob { return sortedValues(v.trainerJobs) }

// ModelVersion returns the version that the model's servers are to serve.
func (v *View) ModelVersion(model string) (ModelVersion, bool) {
	version, ok := v.head.ModelVersions[model]
	return version, ok
}

// Upcoming returns the version that the model's servers are to load beside the one they serve, if there is one.
func (v *View) Upcoming(model string) (ModelVersion, bool) {
	version, ok := v.head.Upcoming[model]
	return version, ok && version.Version > v.head.ModelVersions[model].Version
}

// ModelVersions returns the versions of all models, sorted by model.
func (v *View) ModelVersions() []ModelVersion { return sortedValues(v.head.ModelVersions) }

func sortedValues[T any](table map[string]T) []T {
	values := make([]T, 0, len(table))
	for _, name := range slices.Sorted(maps.Keys(table)) {
		values = append(values, table[name])
	}
	return values
}
