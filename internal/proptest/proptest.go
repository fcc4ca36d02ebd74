// Package proptest runs property tests with rapid under a fixed default seed, and
// checks that they fail when the system under test has a known defect.
package proptest

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// defaultSeed is the seed of rapid that makes test runs repeatable.
const defaultSeed = "20261"

// Check runs prop under rapid. Without -rapid.seed on the command line it uses a
// fixed seed, so that every run checks the same cases; -rapid.seed=0 makes rapid
// choose a random seed.
func Check(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	setDefaultSeed()
	rapid.Check(t, prop)
}

// setDefaultSeed sets the default seed unless the command line sets one.
func setDefaultSeed() {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if given {
		return
	}
	if err := flag.Set("rapid.seed", defaultSeed); err != nil {
		panic(err)
	}
}
