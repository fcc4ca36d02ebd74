package charts

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestEmbeddedChartsAreValid(t *testing.T) {
	names, err := Names()
	assert.NilError(t, err)
	assert.Assert(t, len(names) >= 5)
	for _, name := range names {
		c, err := Load(name)
		assert.NilError(t, err)
		assert.Equal(t, c.Name(), name)
	}
}
