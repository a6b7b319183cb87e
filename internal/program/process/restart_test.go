package process

import (
	"fmt"
	"testing"
)

// A process ends and is started again at once under the same addresses. It could not listen, now and then, since the former one's listener
// for other processes was closed a moment after its end.
func TestAddressesAreFreeAfterTheEnd(t *testing.T) {
	d := newDeployment(t, 1)
	first := d.gateways[0]
	for i := range 5 {
		d.gateways[len(d.gateways)-1].kill()
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			d.t = t
			d.startWith(first.set, first.door)
		})
		d.t = t
	}
}
