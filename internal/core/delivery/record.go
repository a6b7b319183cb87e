package delivery

import (
	"encoding/json"
	"net/netip"

	"github.com/pkg/errors"
)

// pastSteps is the number of finished steps kept in the job object, so that a repeated request to post one of
// them gets the same answer as before. A trainer repeats at most the step before its current one; eight leave
// a margin and keep the object small.
const pastSteps = 8

// ObjectName returns the name of the job object.
func ObjectName(job string) string {
	return "trainerJob/" + job
}

// Record is the value of the job object. One object holds both the model version and the newest manifest, so
// that conditional updates order every version change and every batch relative to each other.
type Record struct {
	Job          string `json:"job"`
	ModelVersion int    `json:"modelVersion"`
	Weights      string `json:"weights,omitempty"`
	// Fencing is the fencing number of the lease under which the record was written.
	Fencing uint64      `json:"fencing"`
	Step    *StepRecord `json:"step,omitempty"`
	Past    []PastStep  `json:"past,omitempty"`
}

// StepRecord is the stored state of the current step.
type StepRecord struct {
	Step   int    `json:"step"`
	Digest string `json:"digest"`
	// Chunks is the number of objects that hold the step's body; 0 if the body is not stored.
	Chunks int `json:"chunks"`
	// GroupSizes is the number of samples in each group.
	GroupSizes []int `json:"sizes"`
	BatchSize  int   `json:"batchSize"`
	// Batch is the number of the newest batch; 0 before the first.
	Batch int `json:"batch"`
	// Delivered is the set of samples in the batches up to and including Batch.
	Delivered Bitmap `json:"delivered"`
	// Manifest is the manifest of Batch; nil if the batch is known only from the trainer's cursor.
	Manifest *Manifest `json:"manifest,omitempty"`
}

// PastStep summarizes a step whose last batch was acknowledged.
type PastStep struct {
	Step    int    `json:"step"`
	Digest  string `json:"digest"`
	Samples int    `json:"samples"`
	Batches int    `json:"batches"`
}

// Manifest lists the samples of a batch and thereby fixes the batch's content.
type Manifest struct {
	Batch int `json:"batch"`
	// ModelVersion is the model version in force when the manifest was created.
	ModelVersion int  `json:"modelVersion"`
	Last         bool `json:"last"`
	// Holder is the peer address of the coordinator that created the batch.
	Holder     netip.AddrPort `json:"holder"`
	SampleRefs []SampleRef    `json:"samples"`
}

// SampleRef is a manifest's reference to the content of one sample.
type SampleRef struct {
	Group  int     `json:"group"`
	Index  int     `json:"index"`
	Digest string  `json:"digest"`
	Score  float64 `json:"score"`
	// OldestVersion is the oldest weight version among the sample's spans.
	OldestVersion int `json:"oldest"`
	// CopyHost is the second host that holds the content.
	CopyHost netip.AddrPort `json:"copy"`
}

// ParseRecord decodes the value of the job object.
func ParseRecord(raw []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(raw, &record); err != nil {
		return Record{}, errors.Wrap(err, "decode trainer job object")
	}
	return record, nil
}

// Samples returns the number of samples in the step.
func (s *StepRecord) Samples() int {
	total := 0
	for _, size := range s.GroupSizes {
		total += size
	}
	return total
}

// Batches returns the number of batches in the step.
func (s *StepRecord) Batches() int {
	return (s.Samples() + s.BatchSize - 1) / s.BatchSize
}

// Complete reports whether the newest batch is the last one of the step.
func (s *StepRecord) Complete() bool {
	return s.Batch == s.Batches()
}

// Position returns the position of a sample in the step: its index across all groups.
func (s *StepRecord) Position(group, index int) int {
	for _, size := range s.GroupSizes[:group] {
		index += size
	}
	return index
}

// Locate is the inverse of Position.
func (s *StepRecord) Locate(position int) (group, index int) {
	for group, size := range s.GroupSizes {
		if position < size {
			return group, position
		}
		position -= size
	}
	return len(s.GroupSizes), position
}

// deliveredBefore returns the set of samples delivered before the newest batch; ok is false if the manifest of
// the newest batch is unknown.
func (s *StepRecord) deliveredBefore() (set Bitmap, ok bool) {
	if s.Batch == 0 {
		return s.Delivered, true
	}
	if s.Manifest == nil {
		return nil, false
	}
	set = s.Delivered.Clone()
	for _, ref := range s.Manifest.SampleRefs {
		set.Clear(s.Position(ref.Group, ref.Index))
	}
	return set, true
}

func (s *StepRecord) clone() *StepRecord {
	if s == nil {
		return nil
	}
	copied := *s
	copied.Delivered = s.Delivered.Clone()
	return &copied
}

// withPast returns the past steps followed by the current one, limited to the newest pastSteps.
func (r Record) withPast() []PastStep {
	if r.Step == nil {
		return r.Past
	}
	past := append([]PastStep{}, r.Past...)
	past = append(past, PastStep{
		Step:    r.Step.Step,
		Digest:  r.Step.Digest,
		Samples: r.Step.Samples(),
		Batches: r.Step.Batches(),
	})
	return past[max(0, len(past)-pastSteps):]
}
