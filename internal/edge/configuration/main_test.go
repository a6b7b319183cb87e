package configuration

import (
	"flag"
	"os"
	"testing"
)

// TestMain runs more and longer schedules than rapid's defaults. With these settings rapid found each of the faults that
// were tried within some hundreds of schedules. Command-line flags take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "1000", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
