// Package proof runs property tests with a fixed seed unless one is given.
package proof

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// fixedSeed makes a run of the tests repeatable.
const fixedSeed = "20261"

// Check runs prop under rapid. Without -rapid.seed on the command line the
// seed is fixed, so that every run draws the same cases; -rapid.seed=0 draws
// a new seed.
func Check(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	useFixedSeed()
	rapid.Check(t, prop)
}

func useFixedSeed() {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if given {
		return
	}
	if err := flag.Set("rapid.seed", fixedSeed); err != nil {
		panic(err)
	}
}
