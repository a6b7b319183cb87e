package delivery

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// MaxSamples bounds the samples of one step. The cursor travels in an HTTP header and holds one
// bit a sample: 8192 of them take 1.4 KB once encoded, and with the second encoding of the whole
// cursor stay under the 4 KB that HTTP servers commonly grant all headers together.
const MaxSamples = 8192

// ErrPlan is returned for a step body that can't be served.
var ErrPlan = errors.New("step body")

// Group is a set of prompts whose samples belong together.
type Group struct {
	Prompts []string `json:"prompts"`
	// Samples is the number of samples for each prompt.
	Samples int `json:"samples"`
}

// Plan is the checked body of a step.
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

// ParsePlan checks a step's body; unknown fields are refused by name.
func ParsePlan(raw []byte) (Plan, error) {
	var body planBody
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return Plan{}, errors.Wrapf(ErrPlan, "%v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Plan{}, errors.Wrap(ErrPlan, "more follows after the object")
	}
	if body.MaxTokens < 0 {
		return Plan{}, errors.Wrapf(ErrPlan, "maxTokens %d is negative", body.MaxTokens)
	}
	plan := Plan{MaxTokens: body.MaxTokens}
	for i, group := range body.Groups {
		checked, err := group.check(i)
		if err != nil {
			return Plan{}, err
		}
		plan.Groups = append(plan.Groups, checked)
	}
	return plan, plan.checkSize()
}

func (g groupBody) check(at int) (Group, error) {
	if (g.Prompt == nil) == (len(g.Prompts) == 0) {
		return Group{}, errors.Wrapf(ErrPlan, "groups[%d] needs either prompt or prompts", at)
	}
	if g.Samples < 1 || g.Samples > MaxSamples {
		return Group{}, errors.Wrapf(ErrPlan, "groups[%d].samples %d is not between 1 and %d", at, g.Samples, MaxSamples)
	}
	prompts := g.Prompts
	if g.Prompt != nil {
		prompts = []string{*g.Prompt}
	}
	if len(prompts) > MaxSamples {
		return Group{}, errors.Wrapf(ErrPlan, "groups[%d] has %d prompts, %d are allowed", at, len(prompts), MaxSamples)
	}
	return Group{Prompts: prompts, Samples: g.Samples}, nil
}

func (p Plan) checkSize() error {
	total := 0
	for _, size := range p.Sizes() {
		total += size
	}
	if total == 0 {
		return errors.Wrap(ErrPlan, "groups is empty")
	}
	if total > MaxSamples {
		return errors.Wrapf(ErrPlan, "%d samples, %d are allowed", total, MaxSamples)
	}
	return nil
}

// Encode returns the stable bytes of the plan and their digest: bodies that differ only in
// spacing, or in prompt against prompts, are the same step.
func (p Plan) Encode() (raw []byte, digest string, err error) {
	raw, err = json.Marshal(p)
	if err != nil {
		return nil, "", errors.Wrap(err, "step body")
	}
	return raw, Digest(raw), nil
}

// Sizes returns the number of samples of each group.
func (p Plan) Sizes() []int {
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
