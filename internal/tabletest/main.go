package tabletest

import (
	"flag"
	"strconv"
	"testing"

	"go.uber.org/goleak"
)

// Main runs the tests of a package that uses pgregory.net/rapid. It sets a fixed seed, and checks that no goroutines are
// left after the tests. Call it from TestMain.
func Main(m *testing.M) {
	setDefault("rapid.seed", "20261204")
	setDefault("rapid.nofailfile", "true")
	goleak.VerifyTestMain(m)
}

// MainWithChecks is like Main, but rapid checks each property with the given number of cases instead of 100, unless the
// command line sets another number.
func MainWithChecks(m *testing.M, checks int) {
	setDefault("rapid.checks", strconv.Itoa(checks))
	Main(m)
}

// setDefault sets a flag before the command line is parsed, so that the command line can override it.
func setDefault(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
