package configuration

import (
	"flag"
	"os"
	"testing"
)

// TestMain plays more and longer schedules than rapid's default, which finds each of the faults that
// were tried in some hundreds. Flags of the command line go first.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "1000", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
