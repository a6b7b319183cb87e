package process

import (
	"fmt"
	"testing"
)

// A process stops and is restarted at once under the same addresses. It sometimes failed to listen, because the previous
// process's listener for other processes was closed a moment after its end.
func TestAddressesAreFreeAfterClose(t *testing.T) {
	d := newDeployment(t, 1)
	first := d.gateways[0]
	for i := range 5 {
		d.gateways[len(d.gateways)-1].kill()
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			d.t = t
			d.startWith(first.set, first.storeEndpoint)
		})
		d.t = t
	}
}
