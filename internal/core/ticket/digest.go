package ticket

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"
)

// PartObjectPrefix starts the object names of parts; the content hash follows.
const PartObjectPrefix = "part/"

// PartObject is the object name of a part with the given content hash.
func PartObject(hash string) string {
	return PartObjectPrefix + hash
}

// KeyHash returns the lower-case hexadecimal SHA-256 of a key, as tickets carry it.
func KeyHash(key string) string {
	return hashOf([]byte(key))
}

func hashOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Digest names the content of a ticket: two tickets that say the same have the same digest, whatever
// the order of their fields and entries.
func Digest(t Ticket) (string, error) {
	t.Organisations = sortedBy(t.Organisations, func(o Organisation) string { return o.Name })
	t.Pools = sortedBy(t.Pools, func(p Pool) string { return p.Name })
	t.TrainerJobs = sortedBy(t.TrainerJobs, func(j TrainerJob) string { return j.Name })
	t.ModelVersions = sortedBy(t.ModelVersions, func(m ModelVersion) string { return m.Model })
	data, err := json.Marshal(t)
	if err != nil {
		return "", errors.Wrap(err, "ticket digest")
	}
	return hashOf(data), nil
}

// ContentHash hashes JSON independently of spaces and of the order of fields, since the object API
// may hand a value back in another form than it was written. Numbers keep their digits.
func ContentHash(content []byte) (string, error) {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		return "", errors.Wrap(err, "content hash")
	}
	canonical, err := json.Marshal(tree)
	if err != nil {
		return "", errors.Wrap(err, "content hash")
	}
	return hashOf(canonical), nil
}

func sortedBy[T any](list []T, name func(T) string) []T {
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return sorted
}
