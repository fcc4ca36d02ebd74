package buildinfo

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestShortNamesCommitAndModification(t *testing.T) {
	assert.Equal(t, Info{Commit: "0123456789abcdef"}.Short(), "0123456789")
	assert.Equal(t, Info{Commit: "0123456789abcdef", Modified: true}.Short(), "0123456789+")
	assert.Equal(t, Info{Commit: unknown}.Short(), unknown)
	assert.Assert(t, Read().Go != "")
}
