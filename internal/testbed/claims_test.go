package testbed

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// metricLag is longer than a change takes to appear in the metrics.
const metricLag = 2500 * time.Millisecond

// awaitClaims waits until every entry VM has synced the claims of its
// partitions. An entry VM that is lost earlier counts as a second loss, which
// may lose claims.
func (c *cluster) awaitClaims() {
	c.t.Helper()
	time.Sleep(metricLag)
	for i := range c.entries {
		waitFor(c.t, "claims", func() string { return c.claimsSyncProblem(i) })
	}
}

// claimsSyncProblem returns why the entry VM may lack claims, or an empty
// string when all its partitions are synced.
func (c *cluster) claimsSyncProblem(entry int) string {
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + c.metrics[entry] + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	page, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "balsamcourse_claims_unsynced_partitions{") && strings.HasSuffix(line, " 0") {
			return ""
		}
	}
	return "not all claim partitions are synced"
}
