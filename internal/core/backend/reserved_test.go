package backend

import "testing"

// Guards against callers who find all slots of a pool taken by work that can wait.
func TestReservedSlots(t *testing.T) {
	balancer := newTestBalancer()
	rewards := Requirements{Pool: "desk", Deferrable: true, ReservedSlots: 1}
	for range 3 {
		if got := acquire(balancer, rewards); got == "" {
			t.Fatal("refused while slots are free")
		}
	}
	if got := acquire(balancer, rewards); got != "" {
		t.Errorf("took a reserved slot of %s", got)
	}
	for range 3 {
		if got := acquire(balancer, Requirements{Pool: "desk"}); got == "" {
			t.Error("a caller was refused")
		}
	}
}
