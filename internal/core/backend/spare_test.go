package backend

import "testing"

// Guards against callers who find all places of a pool taken by work that can wait.
func TestWorkThatCanWaitSparesPlaces(t *testing.T) {
	book := newTestBook()
	rewards := Need{Pool: "desk", Within: true, Spare: 1}
	for range 3 {
		if got := acquire(book, rewards); got == "" {
			t.Fatal("refused while places are free")
		}
	}
	if got := acquire(book, rewards); got != "" {
		t.Errorf("took a spared place of %s", got)
	}
	for range 3 {
		if got := acquire(book, Need{Pool: "desk"}); got == "" {
			t.Error("a caller was refused")
		}
	}
}
