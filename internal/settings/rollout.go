package settings

// Rollout configures how a pool's requests move to another software version. Control
// VMs and gateways must have the same values.
type Rollout struct {
	// Share is the largest part, from 0 to 1, of a pool's requests that a version gets
	// before its verdict; 0 disables roll-outs and ignores software versions.
	Share float64 `toml:"share"`
	// Slack is the number of requests that it may get in addition, over all gateways.
	Slack float64 `toml:"slack"`
	// RollbackMs is the time after enough bad answers by which a bad version gets no more
	// requests.
	RollbackMs Millis `toml:"rollback_ms"`
}

// Enabled reports whether roll-outs are enabled.
func (r Rollout) Enabled() bool { return r.Share > 0 }

func defaultRollout() Rollout { return Rollout{Slack: 50, RollbackMs: 5_000} }

func (r Rollout) check(c *checker) {
	if !(r.Share >= 0 && r.Share <= 1) {
		c.addf("rollout.share", "%v must lie between 0 and 1", r.Share)
	}
	if !(r.Slack >= 0) {
		c.addf("rollout.slack", "%v must not be below 0", r.Slack)
	}
	c.between("rollout.rollback_ms", int64(r.RollbackMs), 100, 600_000)
}
