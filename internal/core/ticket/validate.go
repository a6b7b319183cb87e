package ticket

import (
	"fmt"
	"regexp"
	"strings"
)

// maxVersion is the maximum model version. Larger integers may lose precision as JSON numbers.
const maxVersion = 1 << 53

// namePattern matches names that are safe in URL paths, object names and metric labels.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Descriptions of valid values that several fields share.
const (
	expectName        = "1 to 64 letters, digits, dots, dashes or underscores"
	expectNonNegative = "0 or more"
	expectPositive    = "1 or more"
	expectUniqueName  = "one entry for each name"
)

// Validate returns FieldErrors for everything that is invalid in the ticket by itself. View.Apply checks the
// ticket against the current configuration.
func (t Ticket) Validate() error {
	var found findings
	found.require(t.entryCount() > 0, "ticket", "it changes nothing", "at least one entry")
	validateEach(&found, "organisations", t.Organisations, Organisation.nameAndRemoved, Organisation.validate)
	validateEach(&found, "pools", t.Pools, Pool.nameAndRemoved, Pool.validate)
	validateEach(&found, "trainerJobs", t.TrainerJobs, TrainerJob.nameAndRemoved, TrainerJob.validate)
	validateEach(&found, "modelVersions", t.ModelVersions, ModelVersion.nameAndRemoved, ModelVersion.validate)
	return found.err()
}

func (t Ticket) entryCount() int {
	return len(t.Organisations) + len(t.Pools) + len(t.TrainerJobs) + len(t.ModelVersions)
}

func (m ModelVersion) nameAndRemoved() (name string, removed bool) { return m.Model, false }

func validateEach[T any](f *findings, list string, entries []T,
	nameAndRemoved func(T) (string, bool), validate func(T, *findings, string)) {
	seen := map[string]bool{}
	for i, value := range entries {
		path := fmt.Sprintf("%s[%d]", list, i)
		name, _ := nameAndRemoved(value)
		f.require(!seen[name], path, fmt.Sprintf("%q comes twice", name), expectUniqueName)
		seen[name] = true
		validate(value, f, path)
	}
}

func validateName(f *findings, path, name string) {
	f.require(namePattern.MatchString(name), path, fmt.Sprintf("%.80q is no name", name), expectName)
}

func validateNames(f *findings, path string, names []string) {
	seen := map[string]bool{}
	for i, name := range names {
		entryPath := fmt.Sprintf("%s[%d]", path, i)
		validateName(f, entryPath, name)
		f.require(!seen[name], entryPath, fmt.Sprintf("%.80q comes twice", name), expectUniqueName)
		seen[name] = true
	}
}

// requireNonNegative adds an error if value is negative or NaN.
func requireNonNegative(f *findings, path string, value float64) {
	f.require(value >= 0, path, fmt.Sprintf("%v is negative", value), expectNonNegative)
}

func (o Organisation) validate(f *findings, path string) {
	validateName(f, path+".name", o.Name)
	if o.Removed {
		onlyName := o.Weight == 0 && o.RequestsPerSecond == 0 && o.Burst == 0 && len(o.KeyHashes) == 0
		f.require(onlyName, path+".removed", "a removed organisation has other fields", "only name and removed")
		return
	}
	requireNonNegative(f, path+".weight", o.Weight)
	requireNonNegative(f, path+".requestsPerSecond", o.RequestsPerSecond)
	requireNonNegative(f, path+".burst", float64(o.Burst))
	f.require(o.Burst == 0 || o.RequestsPerSecond > 0, path+".burst",
		"there is a burst without a rate", "requestsPerSecond beside burst")
	seen := map[string]bool{}
	for i, keyHash := range o.KeyHashes {
		hashPath := fmt.Sprintf("%s.keyHashes[%d]", path, i)
		f.require(hashPattern.MatchString(keyHash), hashPath, "it is no key hash", "the SHA-256 of the key as 64 lower-case hexadecimal digits")
		f.require(!seen[keyHash], hashPath, "the key comes twice", "each key once")
		seen[keyHash] = true
	}
}

func (p Pool) validate(f *findings, path string) {
	validateName(f, path+".name", p.Name)
	if p.Removed {
		return
	}
	p.validateKind(f, path)
	validateNames(f, path+".organisations", p.Organisations)
	validateNames(f, path+".availabilityZones", p.AvailabilityZones)
	requireNonNegative(f, path+".minServers", float64(p.MinServers))
	requireNonNegative(f, path+".maxServers", float64(p.MaxServers))
	f.require(p.MinServers <= p.MaxServers || p.MinServers < 0, path+".minServers",
		fmt.Sprintf("%d is above maxServers, which is %d", p.MinServers, p.MaxServers), "minServers up to maxServers")
	requireNonNegative(f, path+".concurrency", float64(p.Concurrency))
	requireNonNegative(f, path+".startupTime", float64(p.StartupTime))
	for i, prefix := range p.IdempotentPaths {
		f.require(strings.HasPrefix(prefix, "/"), fmt.Sprintf("%s.idempotentPaths[%d]", path, i),
			fmt.Sprintf("%.80q is no path", prefix), "a path that starts with /")
	}
}

func (p Pool) validateKind(f *findings, path string) {
	switch p.Kind {
	case KindModel:
		f.require(p.Model != "", path+".model", "a model pool names no model", "the name of the model")
		if p.Model != "" {
			validateName(f, path+".model", p.Model)
		}
	case KindService, KindScoring:
		f.require(p.Model == "", path+".model", fmt.Sprintf("a pool of kind %q names a model", p.Kind), "no model")
	default:
		f.add(path+".kind", fmt.Sprintf("%.80q is no kind", string(p.Kind)), `"model", "service" or "scoring"`)
	}
	f.require(p.Kind == KindService || len(p.IdempotentPaths) == 0, path+".idempotentPaths",
		fmt.Sprintf("a pool of kind %q has no paths", p.Kind), "no idempotentPaths")
}

func (j TrainerJob) validate(f *findings, path string) {
	validateName(f, path+".name", j.Name)
	if j.Removed {
		return
	}
	validateName(f, path+".organisation", j.Organisation)
	validateName(f, path+".model", j.Model)
	f.require(j.BatchSize >= 1, path+".batchSize", fmt.Sprintf("%d is no batch", j.BatchSize), expectPositive)
	requireNonNegative(f, path+".stalenessBound", float64(j.StalenessBound))
	requireNonNegative(f, path+".maxTokens", float64(j.MaxTokens))
}

func (m ModelVersion) validate(f *findings, path string) {
	validateName(f, path+".model", m.Model)
	f.require(m.Version >= 1 && m.Version <= maxVersion, path+".version",
		fmt.Sprintf("%d is no version", m.Version), expectPositive)
}
