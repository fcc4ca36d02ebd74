package union

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestUnionKeepsOrderAndOmitsDuplicates(t *testing.T) {
	a := []string{"x", "y"}
	assert.DeepEqual(t, Of(a, []string{"y", "z", "z"}), []string{"x", "y", "z"})
	assert.DeepEqual(t, Of(nil, a), a)
	assert.DeepEqual(t, Of(a, nil), a)
	assert.DeepEqual(t, Of(a[:1], []string{"z"}), []string{"x", "z"})
	assert.DeepEqual(t, a, []string{"x", "y"})
}
