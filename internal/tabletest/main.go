package tabletest

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// Main runs the tests of a package that uses pgregory.net/rapid, with a fixed seed, and checks that no goroutine outlives
// them. Call it from TestMain.
func Main(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	goleak.VerifyTestMain(m)
}
