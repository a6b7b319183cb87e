package lease

import (
	"flag"
	"os"
	"testing"
)

// TestMain runs more and longer schedules than rapid's default. Each fault that was put into the machine on
// trial was found within some hundreds of schedules. Flags on the command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "3000", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
