package ticket

import (
	"fmt"
	"maps"
	"slices"
)

// check returns FieldErrors for contradictions between the ticket and the configuration that would result
// from it. The receiver is the resulting configuration, before is the current one.
func (v *View) check(before *View, t Ticket) error {
	var found findings
	v.checkKeys(&found, t)
	v.checkPools(&found, t)
	v.checkJobs(&found, t)
	v.checkDependents(&found, before, t)
	for i, version := range t.ModelVersions {
		if err := v.modelVersionError(fmt.Sprintf("modelVersions[%d]", i), version); err != nil {
			found.list = append(found.list, err)
		}
	}
	return found.err()
}

// checkKeys rejects a key that belongs to two organisations: its requests could run for the wrong one.
func (v *View) checkKeys(found *findings, t Ticket) {
	owners := map[string]string{}
	changed := map[string]bool{}
	for _, organisation := range t.Organisations {
		changed[organisation.Name] = true
	}
	for name, organisation := range v.organisations {
		for _, keyHash := range organisation.KeyHashes {
			if !changed[name] {
				owners[keyHash] = name
			}
		}
	}
	for i, organisation := range t.Organisations {
		for j, keyHash := range organisation.KeyHashes {
			path := fmt.Sprintf("organisations[%d].keyHashes[%d]", i, j)
			owner, taken := owners[keyHash]
			found.require(!taken || owner == organisation.Name, path,
				fmt.Sprintf("the key belongs to organisation %q", owner), "a key of one organisation only")
			owners[keyHash] = organisation.Name
		}
	}
}

func (v *View) checkPools(found *findings, t Ticket) {
	for i, pool := range t.Pools {
		if pool.Removed {
			continue
		}
		path := fmt.Sprintf("pools[%d]", i)
		for j, name := range pool.Organisations {
			_, known := v.organisations[name]
			found.require(known, fmt.Sprintf("%s.organisations[%d]", path, j),
				fmt.Sprintf("there is no organisation %q", name), "the name of an organisation")
		}
		if other := v.conflictingModelPool(pool); other != "" {
			found.add(path+".model", fmt.Sprintf("model %q is served by pool %q", pool.Model, other), "one pool a model")
		}
	}
}

func (v *View) conflictingModelPool(pool Pool) string {
	if pool.Kind != KindModel {
		return ""
	}
	for _, name := range slices.Sorted(maps.Keys(v.pools)) {
		other := v.pools[name]
		if other.Kind == KindModel && other.Model == pool.Model && name != pool.Name {
			return name
		}
	}
	return ""
}

func (v *View) checkJobs(found *findings, t Ticket) {
	for i, job := range t.TrainerJobs {
		if !job.Removed {
			v.checkJob(found, fmt.Sprintf("trainerJobs[%d]", i), job)
		}
	}
}

func (v *View) checkJob(found *findings, path string, job TrainerJob) {
	_, known := v.organisations[job.Organisation]
	found.require(known, path+".organisation",
		fmt.Sprintf("there is no organisation %q", job.Organisation), "the name of an organisation")
	found.require(v.servesModel(job.Model), path+".model",
		fmt.Sprintf("no pool serves model %q", job.Model), "the model of a pool of kind \"model\"")
	if job.ScoringPool == "" {
		return
	}
	pool, known := v.pools[job.ScoringPool]
	found.require(known && pool.Kind == KindScoring, path+".scoringPool",
		fmt.Sprintf("there is no scoring pool %q", job.ScoringPool), "the name of a pool of kind \"scoring\"")
}

func (v *View) servesModel(model string) bool {
	for _, pool := range v.pools {
		if pool.Kind == KindModel && pool.Model == model {
			return true
		}
	}
	return false
}

// checkDependents rejects removals and changes of kind or model that break a part which the ticket doesn't
// change itself.
func (v *View) checkDependents(found *findings, before *View, t Ticket) {
	for i, organisation := range t.Organisations {
		if referrer := v.referrerOf(organisation); referrer != "" {
			found.add(fmt.Sprintf("organisations[%d].removed", i),
				fmt.Sprintf("%s still names organisation %q", referrer, organisation.Name), "a ticket that changes both")
		}
	}
	changed := map[string]bool{}
	for _, job := range t.TrainerJobs {
		changed[job.Name] = true
	}
	for _, job := range before.TrainerJobs() {
		if changed[job.Name] {
			continue
		}
		pool, known := v.pools[job.ScoringPool]
		satisfied := v.servesModel(job.Model) && (job.ScoringPool == "" || known && pool.Kind == KindScoring)
		found.require(satisfied, "pools", fmt.Sprintf("trainer job %q needs model %q and scoring pool %q",
			job.Name, job.Model, job.ScoringPool), "a ticket that changes both")
	}
}

// referrerOf describes a trainer job or pool that still refers to an organisation which the ticket removes. It
// returns "" if there is none.
func (v *View) referrerOf(organisation Organisation) string {
	if !organisation.Removed {
		return ""
	}
	for _, job := range v.TrainerJobs() {
		if job.Organisation == organisation.Name {
			return fmt.Sprintf("trainer job %q", job.Name)
		}
	}
	for _, pool := range v.Pools() {
		if slices.Contains(pool.Organisations, organisation.Name) {
			return fmt.Sprintf("pool %q", pool.Name)
		}
	}
	return ""
}

func (v *View) checkModelVersion(path string, version ModelVersion) error {
	if err := v.modelVersionError(path, version); err != nil {
		return FieldErrors{err}
	}
	return nil
}

// modelVersionError rejects a version that isn't above the current one, unless it is the same. If versions went
// back, samples of the newer one would be counted as older than they are, and engines would switch back and forth.
func (v *View) modelVersionError(path string, version ModelVersion) *FieldError {
	if !v.servesModel(version.Model) {
		return &FieldError{
			Path: path + ".model", Problem: fmt.Sprintf("no pool serves model %q", version.Model),
			Expected: "the model of a pool of kind \"model\"",
		}
	}
	current, known := v.head.ModelVersions[version.Model]
	if !known || version.Version > current.Version || version == current {
		return nil
	}
	return versionNotAbove(path, version, current)
}

func versionNotAbove(path string, version, current ModelVersion) *FieldError {
	return &FieldError{
		Path: path + ".version", Problem: fmt.Sprintf("version %d of %q is not above %d", version.Version, version.Model, current.Version),
		Expected: fmt.Sprintf("a version from %d on", current.Version+1),
	}
}
