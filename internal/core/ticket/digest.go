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

// PartObjectPrefix is the prefix of the object names of parts. The content hash follows it.
const PartObjectPrefix = "part/"

// PartObject returns the object name of the part with the given content hash.
func PartObject(hash string) string {
	return PartObjectPrefix + hash
}

// KeyHash returns the lower-case hexadecimal SHA-256 of a key, the form in which tickets contain keys.
func KeyHash(key string) string {
	return hexSHA256([]byte(key))
}

func hexSHA256(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Digest returns a hash of the ticket's content. Tickets with the same content have the same digest, whatever
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
	return hexSHA256(data), nil
}

// ContentHash returns a hash of JSON that doesn't depend on whitespace or on the order of fields, since the
// object API may return a value formatted differently from how it was written. Numbers are hashed with the
// digits that they are written with.
func ContentHash(content []byte) (string, error) {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return "", errors.Wrap(err, "content hash")
	}
	canonical, err := json.Marshal(value)
	if err != nil {
		return "", errors.Wrap(err, "content hash")
	}
	return hexSHA256(canonical), nil
}

func sortedBy[T any](list []T, name func(T) string) []T {
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return sorted
}
