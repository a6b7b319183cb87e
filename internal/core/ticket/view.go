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

// ErrPartMissing is returned when a head refers to a part whose content wasn't passed.
var ErrPartMissing = errors.New("part is missing")

// The kinds of parts. The name of a part consists of its kind, a slash and the name of the entry.
const (
	organisationPart = "organisation"
	poolPart         = "pool"
	trainerJobPart   = "trainerJob"
)

// View is the complete configuration at one revision. It is immutable, so that any number of goroutines may
// read it; each new revision gets a new View.
type View struct {
	revision      uint64
	head          Head
	organisations map[string]Organisation
	pools         map[string]Pool
	modelPools    map[string]string
	trainerJobs   map[string]TrainerJob
	keys          map[keyPrefix][]keyOwner
}

// keyPrefix is the start of a key's hash, which indexes the keys of a View.
type keyPrefix [8]byte

// keyOwner is the hash of a key and the organisation that owns the key.
type keyOwner struct {
	sum          [sha256.Size]byte
	organisation string
}

// NewView builds the view of a head. Revision is the version of the head object, and parts maps content hashes
// to the content of parts. It returns ErrPartMissing if parts lacks one that the head refers to.
func NewView(revision uint64, head Head, parts map[string][]byte) (*View, error) {
	view := viewWithoutParts(revision, head.clone())
	for name, hash := range head.Parts {
		content, ok := parts[hash]
		if !ok {
			return nil, errors.Wrapf(ErrPartMissing, "%s, content %s", name, hash)
		}
		if err := view.addPart(name, content); err != nil {
			return nil, err
		}
	}
	if err := view.index(); err != nil {
		return nil, err
	}
	return view, nil
}

// EmptyView returns the view before the first ticket.
func EmptyView() *View {
	return viewWithoutParts(0, Head{}.clone())
}

func viewWithoutParts(revision uint64, head Head) *View {
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

func (v *View) addPart(name string, content []byte) error {
	kind, _, _ := strings.Cut(name, "/")
	switch kind {
	case organisationPart:
		return decodePart(v.organisations, name, content, func(o Organisation) string { return o.Name })
	case poolPart:
		return decodePart(v.pools, name, content, func(p Pool) string { return p.Name })
	case trainerJobPart:
		return decodePart(v.trainerJobs, name, content, func(j TrainerJob) string { return j.Name })
	default:
		return errors.Errorf("part %s: unknown kind", name)
	}
}

func decodePart[T any](table map[string]T, partName string, content []byte, nameOf func(T) string) error {
	var entry T
	if err := json.Unmarshal(content, &entry); err != nil {
		return errors.Wrapf(err, "part %s", partName)
	}
	_, entryName, _ := strings.Cut(partName, "/")
	if nameOf(entry) != entryName {
		return errors.Errorf("part %s holds %q", partName, nameOf(entry))
	}
	table[entryName] = entry
	return nil
}

// index builds the lookup tables for the pools of models and for keys.
func (v *View) index() error {
	for _, pool := range v.pools {
		if pool.Kind == KindModel {
			v.modelPools[pool.Model] = pool.Name
		}
	}
	for _, organisation := range v.organisations {
		for _, keyHash := range organisation.KeyHashes {
			sum, err := decodeKeyHash(keyHash)
			if err != nil {
				return errors.Wrapf(err, "organisation %s", organisation.Name)
			}
			prefix := keyPrefix(sum[:len(keyPrefix{})])
			v.keys[prefix] = append(v.keys[prefix], keyOwner{sum: sum, organisation: organisation.Name})
		}
	}
	return nil
}

func decodeKeyHash(keyHash string) ([sha256.Size]byte, error) {
	var sum [sha256.Size]byte
	decoded, err := hex.DecodeString(keyHash)
	if err != nil || len(decoded) != len(sum) {
		return sum, errors.Errorf("key hash of %d characters is not a SHA-256 in hexadecimal", len(keyHash))
	}
	copy(sum[:], decoded)
	return sum, nil
}

// Revision returns the version of the head object that the view was built from; 0 if there is none.
func (v *View) Revision() uint64 { return v.revision }

// LastTicket returns the number of the last ticket that the view includes.
func (v *View) LastTicket() int { return v.head.LastTicket }

// Head returns a copy of the head that the view was built from.
func (v *View) Head() Head { return v.head.clone() }

// Authenticate returns the organisation that owns the key, and the key's hash; false if the key is unknown.
// It compares hashes in constant time, so that its duration doesn't reveal how close a guessed key is.
func (v *View) Authenticate(key string) (Organisation, string, bool) {
	sum := sha256.Sum256([]byte(key))
	owner, ok := v.ownerOf(sum)
	if !ok {
		return Organisation{}, "", false
	}
	return v.organisations[owner], hex.EncodeToString(sum[:]), true
}

// KeyValid reports whether the key with the given hash belongs to the organisation.
func (v *View) KeyValid(organisation, keyHash string) bool {
	sum, err := decodeKeyHash(keyHash)
	if err != nil {
		return false
	}
	owner, ok := v.ownerOf(sum)
	return ok && owner == organisation
}

func (v *View) ownerOf(sum [sha256.Size]byte) (string, bool) {
	found := ""
	ok := false
	for _, candidate := range v.keys[keyPrefix(sum[:len(keyPrefix{})])] {
		if subtle.ConstantTimeCompare(candidate.sum[:], sum[:]) == 1 {
			found, ok = candidate.organisation, true
		}
	}
	return found, ok
}

// Organisation returns the organisation with the given name; false if there is none.
func (v *View) Organisation(name string) (Organisation, bool) {
	organisation, ok := v.organisations[name]
	return organisation, ok
}

// Organisations returns all organisations, sorted by name.
func (v *View) Organisations() []Organisation { return sortedValues(v.organisations) }

// Pool returns the pool with the given name; false if there is none.
func (v *View) Pool(name string) (Pool, bool) {
	pool, ok := v.pools[name]
	return pool, ok
}

// Pools returns all pools, sorted by name.
func (v *View) Pools() []Pool { return sortedValues(v.pools) }

// ModelPool returns the pool that serves the model; false if there is none.
func (v *View) ModelPool(model string) (Pool, bool) {
	name, ok := v.modelPools[model]
	if !ok {
		return Pool{}, false
	}
	return v.Pool(name)
}

// TrainerJob returns the trainer job with the given name; false if there is none.
func (v *View) TrainerJob(name string) (TrainerJob, bool) {
	job, ok := v.trainerJobs[name]
	return job, ok
}

// TrainerJobs returns all trainer jobs, sorted by name.
func (v *View) TrainerJobs() []TrainerJob { return sortedValues(v.trainerJobs) }

// ModelVersion returns the version that the model's servers serve; false if there is none.
func (v *View) ModelVersion(model string) (ModelVersion, bool) {
	version, ok := v.head.ModelVersions[model]
	return version, ok
}

// UpcomingVersion returns the version that the model's servers load in advance while they serve the current one;
// false if there is none.
func (v *View) UpcomingVersion(model string) (ModelVersion, bool) {
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
