package catalog

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// A desired state without limits follows one that has some. Whoever patches the
// configuration must not keep the old limits.
func TestDeltaRemovesCallerLimits(t *testing.T) {
	limits := &catalogpb.CallerLimits{MaxBodyBytes: 1000}
	for _, c := range []struct{ before, after *catalogpb.CallerLimits }{
		{limits, nil}, {nil, limits}, {limits, &catalogpb.CallerLimits{MaxHeaderBytes: 10}}, {nil, nil},
	} {
		base := &catalogpb.Config{Revision: 1, StateVersion: 1, CallerLimits: c.before}
		next := &catalogpb.Config{Revision: 2, StateVersion: 2, CallerLimits: c.after}
		got, err := Patch(base, Delta(base, next))
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(got, next), "%v", got)
	}
}
