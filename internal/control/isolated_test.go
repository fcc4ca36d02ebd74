package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// TestIsolatedGatewaysAreListed lets gateways lose and regain their upstreams. Each
// change of the list has another hash, and a gateway is sent the next list only after
// the interval of a group of this size.
func TestIsolatedGatewaysAreListed(t *testing.T) {
	cfg := &catalogpb.Config{Revision: 1}
	for i := range 50 {
		cfg.Entries = append(cfg.Entries, &catalogpb.Entry{Id: fmt.Sprint("g", i), ClusterAddress: fmt.Sprint("g", i, ":2"), Incarnation: 1})
	}
	tm := newTerm(1, 0, cfg)
	report := func(id string, isolated bool) {
		t.Helper()
		assert.Assert(t, tm.recordReport(time.Second, &renewal{request: &clusterpb.RenewRequest{Entry: tm.registered(id), Isolated: isolated}}))
	}
	for _, e := range cfg.Entries {
		report(e.Id, false)
	}
	assert.Equal(t, tm.isolatedHash, uint64(0))
	report("g3", true)
	assert.DeepEqual(t, tm.isolated, []string{"g3"})
	one := tm.isolatedHash
	assert.Assert(t, one != 0)
	report("g3", true)
	assert.Equal(t, tm.isolatedHash, one)
	report("g0", true)
	assert.DeepEqual(t, tm.isolated, []string{"g0", "g3"})
	assert.Assert(t, tm.isolatedHash != one)
	report("g0", false)
	assert.Equal(t, tm.isolatedHash, one)
	const interval = 50 * time.Millisecond
	assert.Equal(t, tm.nextIsolatedAt("g1", interval), time.Duration(0))
	tm.reports["g1"].isolatedSentAt = 2 * time.Second
	assert.Equal(t, tm.nextIsolatedAt("g1", interval), 2*time.Second+interval)
	// A gateway that is removed from the configuration is not listed.
	next := &catalogpb.Config{Revision: 2, Entries: cfg.Entries[4:]}
	assert.Assert(t, tm.publish(time.Second, next))
	assert.Equal(t, len(tm.isolated), 0)
}
