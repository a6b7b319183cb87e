package delivery

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// MaxSamples limits the number of samples in one step. The cursor travels in an HTTP header and holds one bit
// per sample: 8192 bits take 1.4 KB once encoded, and with the second encoding of the whole cursor stay below
// the 4 KB that HTTP servers commonly allow for all headers together.
const MaxSamples = 8192

// ErrInvalidPlan is returned for a step body that is malformed or exceeds a limit.
var ErrInvalidPlan = errors.New("step body")

// Group is a set of prompts whose samples belong together.
type Group struct {
	Prompts []string `json:"prompts"`
	// Samples is the number of samples per prompt.
	Samples int `json:"samples"`
}

// Plan is the validated body of a step.
type Plan struct {
	Groups    []Group `json:"groups"`
	MaxTokens int     `json:"maxTokens,omitempty"`
}

type groupBody struct {
	Prompt  *string  `json:"prompt"`
	Prompts []string `json:"prompts"`
	Samples int      `json:"samples"`
}

type planBody struct {
	Groups    []groupBody `json:"groups"`
	MaxTokens int         `json:"maxTokens"`
}

// ParsePlan decodes and validates a step's body. Unknown fields are rejected; the error names them.
func ParsePlan(raw []byte) (Plan, error) {
	var body planBody
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return Plan{}, errors.Wrapf(ErrInvalidPlan, "%v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Plan{}, errors.Wrap(ErrInvalidPlan, "more follows after the object")
	}
	if body.MaxTokens < 0 {
		return Plan{}, errors.Wrapf(ErrInvalidPlan, "maxTokens %d is negative", body.MaxTokens)
	}
	plan := Plan{MaxTokens: body.MaxTokens}
	for i, group := range body.Groups {
		checked, err := group.validate(i)
		if err != nil {
			return Plan{}, err
		}
		plan.Groups = append(plan.Groups, checked)
	}
	return plan, plan.validateSize()
}

func (g groupBody) validate(index int) (Group, error) {
	if (g.Prompt == nil) == (len(g.Prompts) == 0) {
		return Group{}, errors.Wrapf(ErrInvalidPlan, "groups[%d] needs either prompt or prompts", index)
	}
	if g.Samples < 1 || g.Samples > MaxSamples {
		return Group{}, errors.Wrapf(ErrInvalidPlan, "groups[%d].samples %d is not between 1 and %d", index, g.Samples, MaxSamples)
	}
	prompts := g.Prompts
	if g.Prompt != nil {
		prompts = []string{*g.Prompt}
	}
	if len(prompts) > MaxSamples {
		return Group{}, errors.Wrapf(ErrInvalidPlan, "groups[%d] has %d prompts, %d are allowed", index, len(prompts), MaxSamples)
	}
	return Group{Prompts: prompts, Samples: g.Samples}, nil
}

func (p Plan) validateSize() error {
	total := 0
	for _, size := range p.GroupSizes() {
		total += size
	}
	if total == 0 {
		return errors.Wrap(ErrInvalidPlan, "groups is empty")
	}
	if total > MaxSamples {
		return errors.Wrapf(ErrInvalidPlan, "%d samples, %d are allowed", total, MaxSamples)
	}
	return nil
}

// Encode returns a deterministic JSON encoding of the plan and its digest. Bodies that differ only in
// whitespace, or in the use of prompt instead of prompts, have the same encoding and are the same step.
func (p Plan) Encode() (raw []byte, digest string, err error) {
	raw, err = json.Marshal(p)
	if err != nil {
		return nil, "", errors.Wrap(err, "step body")
	}
	return raw, Digest(raw), nil
}

// GroupSizes returns the number of samples in each group.
func (p Plan) GroupSizes() []int {
	sizes := make([]int, 0, len(p.Groups))
	for _, group := range p.Groups {
		sizes = append(sizes, len(group.Prompts)*group.Samples)
	}
	return sizes
}

// Prompt returns the prompt of a sample.
func (p Plan) Prompt(group, index int) string {
	g := p.Groups[group]
	return g.Prompts[index/g.Samples]
}
