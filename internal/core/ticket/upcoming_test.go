package ticket

import "testing"

// A trainer announces model versions, which servers load in advance. If an announcement could be below an
// earlier one, or not above the version being served, servers would load weights that are never served.
func TestUpcomingVersionMustIncrease(t *testing.T) {
	change, err := EmptyView().Apply(Ticket{
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
		{"below the served version", 2, true},
		{"above the served version", 5, false},
		{"repeated", 5, false},
		{"below the announced version", 4, true},
		{"above the announced version", 6, false},
	} {
		view, err := NewView(1, head, parts)
		if err != nil {
			t.Fatal(err)
		}
		next, err := view.WithUpcomingVersion(ModelVersion{Model: "draftmodel", Version: step.version})
		if (err != nil) != step.wantErr {
			t.Errorf("%s: error %v, want an error: %v", step.name, err, step.wantErr)
		}
		if err == nil {
			// Followers receive only the difference between heads.
			head = head.Patch(head.DeltaTo(next))
		}
	}
	view, err := NewView(1, head, parts)
	if err != nil {
		t.Fatal(err)
	}
	if upcoming, ok := view.UpcomingVersion("draftmodel"); !ok || upcoming.Version != 6 {
		t.Errorf("upcoming version %+v, %v; want 6", upcoming, ok)
	}
	head, err = view.WithModelVersion(ModelVersion{Model: "draftmodel", Version: 6})
	if err != nil {
		t.Fatal(err)
	}
	if view, err = NewView(2, head, parts); err != nil {
		t.Fatal(err)
	}
	if upcoming, ok := view.UpcomingVersion("draftmodel"); ok {
		t.Errorf("upcoming version %+v after the switch to it", upcoming)
	}
}
