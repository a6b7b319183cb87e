package ticket

import "testing"

// A trainer announces versions, and servers load them beside the one they serve. An announcement that goes back,
// or that is not above what is served, would make servers load weights that nobody will switch to.
func TestUpcomingOnlyGrows(t *testing.T) {
	change, err := Empty().Apply(Ticket{
		Pools:         []Pool{{Name: "draftmodel", Kind: KindModel, Model: "draftmodel"}},
		ModelVersions: []ModelVersion{{Model: "draftmodel", Version: 3}},
	})
	if err != nil {
		t.Fatal(err)
	}
	parts := map[string][]byte{}
	for _, part := range change.Parts {
		parts[part.Hash] = part.Content
	}
	head := change.Head
	for _, step := range []struct {
		name    string
		version int
		wantErr bool
	}{
		{"below what is served", 2, true},
		{"above", 5, false},
		{"again", 5, false},
		{"back", 4, true},
		{"further", 6, false},
	} {
		view, err := NewView(1, head, parts)
		if err != nil {
			t.Fatal(err)
		}
		next, err := view.WithUpcoming(ModelVersion{Model: "draftmodel", Version: step.version})
		if (err != nil) != step.wantErr {
			t.Errorf("%s: error %v, want one: %v", step.name, err, step.wantErr)
		}
		if err == nil {
			// Followers get the difference only.
			head = head.Patch(head.DeltaTo(next))
		}
	}
	view, err := NewView(1, head, parts)
	if err != nil {
		t.Fatal(err)
	}
	if upcoming, ok := view.Upcoming("draftmodel"); !ok || upcoming.Version != 6 {
		t.Errorf("upcoming %+v, %v", upcoming, ok)
	}
	head, err = view.WithModelVersion(ModelVersion{Model: "draftmodel", Version: 6})
	if err != nil {
		t.Fatal(err)
	}
	if view, err = NewView(2, head, parts); err != nil {
		t.Fatal(err)
	}
	if upcoming, ok := view.Upcoming("draftmodel"); ok {
		t.Errorf("still upcoming after the switch: %+v", upcoming)
	}
}
