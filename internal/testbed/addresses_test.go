package testbed

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestFreeAddressesAreNotReturnedTwice guards against two processes of one test
// that get the same port: a port is free again as soon as it has been returned, so
// that the operating system may choose it for the next call.
func TestFreeAddressesAreNotReturnedTwice(t *testing.T) {
	seen := make(map[string]bool)
	for range 1000 {
		addresses, err := FreeAddresses(2)
		assert.NilError(t, err)
		for _, a := range addresses {
			assert.Assert(t, !seen[a], "%s was returned before", a)
			seen[a] = true
		}
	}
}
