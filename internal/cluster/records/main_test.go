package records

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the property tests a fixed seed, so that they always give the same verdict. Flags on the command line go first.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
