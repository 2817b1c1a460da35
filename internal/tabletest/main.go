package tabletest

import (
	"flag"
	"strconv"
	"testing"

	"go.uber.org/goleak"
)

// Main runs the tests of a package that uses pgregory.net/rapid, with a fixed seed, and checks that no goroutine outlives
// them. Call it from TestMain.
func Main(m *testing.M) {
	setDefault("rapid.seed", "20261204")
	setDefault("rapid.nofailfile", "true")
	goleak.VerifyTestMain(m)
}

// MainWithChecks is Main with another number of cases for each property than rapid's 100, unless the command line gives
// one.
func MainWithChecks(m *testing.M, checks int) {
	setDefault("rapid.checks", strconv.Itoa(checks))
	Main(m)
}

// setDefault sets a flag before the command line is parsed.
func setDefault(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
