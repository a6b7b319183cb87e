package ticket

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
)

// partStore holds the content of parts by content hash.
type partStore map[string][]byte

// applyTicket applies the ticket, stores the new parts and returns the next view.
func (s partStore) applyTicket(view *View, t Ticket) (*View, error) {
	change, err := view.Apply(t)
	if err != nil {
		return view, err
	}
	for _, part := range change.Parts {
		s[part.Hash] = part.Content
	}
	value, err := change.Head.Encode()
	if err != nil {
		return view, err
	}
	head, err := DecodeHead(value)
	if err != nil {
		return view, err
	}
	return NewView(view.Revision()+1, head, s)
}

func newTestView(t *testing.T) (partStore, *View) {
	t.Helper()
	parts := partStore{}
	view, err := parts.applyTicket(EmptyView(), parseCompleteTicket(t))
	if err != nil {
		t.Fatal(err)
	}
	return parts, view
}

func TestView(t *testing.T) {
	_, view := newTestView(t)
	organisation, keyHash, ok := view.Authenticate("key-a")
	if !ok || organisation.Name != "sahil" || keyHash != hashA || !view.KeyValid("sahil", hashA) {
		t.Errorf("authenticated as %q with hash %q, %v", organisation.Name, keyHash, ok)
	}
	for _, key := range []string{"", "key-b", hashA} {
		if _, _, ok := view.Authenticate(key); ok {
			t.Errorf("key %q is valid", key)
		}
	}
	if view.KeyValid("other", hashA) || view.KeyValid("sahil", "zz") {
		t.Error("key is valid for another organisation or hash")
	}
	if pool, ok := view.ModelPool("fees"); !ok || pool.Name != "draftmodel" {
		t.Errorf("model pool %q", pool.Name)
	}
	names := []string{}
	for _, pool := range view.Pools() {
		names = append(names, pool.Name)
	}
	if diff := cmp.Diff([]string{"billdesk", "draftmodel", "marks"}, names); diff != "" {
		t.Errorf("pools (-want +got):\n%s", diff)
	}
	if version, _ := view.ModelVersion("fees"); version.Version != 1 {
		t.Errorf("version %d", version.Version)
	}
}

// TestWithdrawnKey checks that a ticket without a key withdraws the key, and that the older view still accepts it.
func TestWithdrawnKey(t *testing.T) {
	parts, view := newTestView(t)
	next, err := parts.applyTicket(view, Ticket{Organisations: []Organisation{{Name: "sahil", Weight: 3}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, ok := next.Authenticate("key-a"); ok || next.KeyValid("sahil", hashA) {
		t.Error("the withdrawn key is still valid")
	}
	if _, _, ok := view.Authenticate("key-a"); !ok {
		t.Error("the older view changed")
	}
}

func TestApplyRejectsContradictions(t *testing.T) {
	remove := func(name string) []Organisation { return []Organisation{{Name: name, Removed: true}} }
	tests := []struct {
		name   string
		ticket Ticket
		want   string
	}{
		{"unknown organisation of a job", Ticket{TrainerJobs: []TrainerJob{{Name: "x", Organisation: "y", Model: "fees", BatchSize: 1}}}, `trainerJobs[0].organisation: there is no organisation "y"`},
		{"unknown model of a job", Ticket{TrainerJobs: []TrainerJob{{Name: "x", Organisation: "sahil", Model: "z", BatchSize: 1}}}, `trainerJobs[0].model: no pool serves model "z"`},
		{"scoring pool of another kind", Ticket{TrainerJobs: []TrainerJob{{Name: "x", Organisation: "sahil", Model: "fees", ScoringPool: "billdesk", BatchSize: 1}}}, `trainerJobs[0].scoringPool`},
		{"unknown organisation of a pool", Ticket{Pools: []Pool{{Name: "p", Kind: KindService, Organisations: []string{"y"}}}}, `pools[0].organisations[0]`},
		{"second pool of a model", Ticket{Pools: []Pool{{Name: "p", Kind: KindModel, Model: "fees"}}}, `is served by pool "draftmodel"`},
		{"key of two organisations", Ticket{Organisations: []Organisation{{Name: "other", KeyHashes: []string{hashA}}}}, `organisations[0].keyHashes[0]: the key belongs to organisation "sahil"`},
		{"organisation in use", Ticket{Organisations: remove("sahil")}, `trainer job "fees" still names`},
		{"pool in use", Ticket{Pools: []Pool{{Name: "marks", Removed: true}}}, `trainer job "fees" needs`},
		{"older version", Ticket{ModelVersions: []ModelVersion{{Model: "fees", Version: 1, Weights: "other"}}}, `version 1 of "fees" is not above 1`},
		{"job and organisation together", Ticket{Organisations: remove("sahil"), TrainerJobs: []TrainerJob{{Name: "fees", Removed: true}}}, ""},
		{"key moves", Ticket{Organisations: []Organisation{{Name: "sahil"}, {Name: "other", KeyHashes: []string{hashA}}}}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			parts, view := newTestView(t)
			_, err := parts.applyTicket(view, test.ticket)
			if test.want == "" && err != nil {
				t.Fatal(err)
			}
			if test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)) {
				t.Errorf("error %v, want %q", err, test.want)
			}
		})
	}
}

func TestApplyOmitsUnchangedParts(t *testing.T) {
	_, view := newTestView(t)
	change, err := view.Apply(parseCompleteTicket(t))
	if err != nil || len(change.Parts) != 0 {
		t.Errorf("change has %d parts, error %v; want none", len(change.Parts), err)
	}
}

func TestMissingPart(t *testing.T) {
	_, view := newTestView(t)
	if _, err := NewView(2, view.Head(), nil); !errors.Is(err, ErrPartMissing) {
		t.Errorf("error %v, want ErrPartMissing", err)
	}
}

func TestOrder(t *testing.T) {
	head := Head{}
	for number := 1; number <= KeptDigests+10; number++ {
		head.recordTicket(fmt.Sprintf("digest %d", number))
	}
	tests := []struct {
		name   string
		number int
		digest string
		want   NumberStatus
	}{
		{"zero", 0, "", NumberInvalid},
		{"next", 75, "any", NumberNext},
		{"early", 76, "any", NumberEarly},
		{"last again", 74, "digest 74", NumberAccepted},
		{"last taken", 74, "other", NumberTaken},
		{"oldest kept", 11, "digest 11", NumberAccepted},
		{"forgotten", 10, "digest 10", NumberForgotten},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := head.NumberStatus(test.number, test.digest); got != test.want {
				t.Errorf("order %v, want %v", got, test.want)
			}
		})
	}
}

func TestFreshness(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(age time.Duration) time.Time { return now.Add(-age) }
	tests := []struct {
		name      string
		freshness Freshness
		want      bool
	}{
		{"nothing known", Freshness{}, false},
		{"just confirmed", Freshness{Confirmed: ago(0)}, true},
		{"at the bound", Freshness{Confirmed: ago(FreshFor)}, true},
		{"partitioned", Freshness{Confirmed: ago(FreshFor + 1)}, false},
		{"outage", Freshness{Confirmed: ago(time.Hour), OutageSeen: ago(time.Second)}, true},
		{"partitioned in an outage", Freshness{Confirmed: ago(time.Hour), OutageSeen: ago(FreshFor + 1)}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.freshness.Fresh(now); got != test.want {
				t.Errorf("fresh %v, want %v", got, test.want)
			}
		})
	}
}

func TestOutageEstablished(t *testing.T) {
	now := time.Unix(1000, 0)
	old, recent := now.Add(-OutageAfter-1), now.Add(-OutageAfter)
	tests := []struct {
		name      string
		relays    int
		confirmed []time.Time
		want      bool
	}{
		{"all answer, none confirmed lately", 4, []time.Time{old, old, old, old}, true},
		{"more than half", 4, []time.Time{old, old, old}, true},
		{"half", 4, []time.Time{old, old}, false},
		{"one confirmed lately", 4, []time.Time{old, old, old, recent}, false},
		{"never confirmed", 3, []time.Time{{}, {}}, true},
		{"only relay", 1, []time.Time{old}, true},
		{"one of many", 44, []time.Time{old}, false},
		{"no relays", 0, nil, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := OutageEstablished(now, test.relays, test.confirmed); got != test.want {
				t.Errorf("established %v, want %v", got, test.want)
			}
		})
	}
}
