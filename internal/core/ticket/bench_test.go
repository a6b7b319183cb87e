package ticket

import (
	"fmt"
	"testing"
)

// largeView returns a view of organisations with five keys each, and the content of its parts.
func largeView(b *testing.B, organisations int) (*View, partStore) {
	b.Helper()
	t := Ticket{}
	for i := range organisations {
		organisation := Organisation{Name: fmt.Sprintf("organisation-%04d", i), Weight: 1}
		for k := range 5 {
			organisation.KeyHashes = append(organisation.KeyHashes, KeyHash(fmt.Sprintf("key-%d-%d", i, k)))
		}
		t.Organisations = append(t.Organisations, organisation)
	}
	parts := partStore{}
	view, err := parts.applyTicket(EmptyView(), t)
	if err != nil {
		b.Fatal(err)
	}
	return view, parts
}

func BenchmarkAuthenticate(b *testing.B) {
	for _, organisations := range []int{8, 100, 1000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			view, _ := largeView(b, organisations)
			for b.Loop() {
				if _, _, ok := view.Authenticate("key-7-3"); !ok {
					b.Fatal("key is not valid")
				}
			}
		})
	}
}

func BenchmarkNewView(b *testing.B) {
	for _, organisations := range []int{8, 100, 1000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			view, parts := largeView(b, organisations)
			head := view.Head()
			value, err := head.Encode()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := NewView(2, head, parts); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(value)), "headBytes")
		})
	}
}
