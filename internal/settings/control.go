package settings

// maxHeartbeatMs bounds the interval between heartbeats. The leader grants
// leases only while a quorum answered a heartbeat of late.
const maxHeartbeatMs = 250

// Control holds the settings of a control VM.
type Control struct {
	// ID is the replica id. A VM that has lost its disk gets a new one.
	ID uint64 `toml:"id"`
	// Zone is the availability zone of this VM.
	Zone string `toml:"zone"`
	// DataDir holds the log and the snapshots.
	DataDir string `toml:"data_dir"`
	Addresses
	// OperatorListen serves operators.
	OperatorListen string `toml:"operator_listen"`
	// Members is the initial control group; with Join, the replicas to contact.
	Members []Member `toml:"members"`
	// Join starts a replica that waits to be added to an existing group.
	Join bool `toml:"join"`
	// Seeds lists the cluster addresses of a few control VMs, in place of ID,
	// Members and Join: the group then forms, and grows, by itself.
	Seeds []string `toml:"seeds"`
	// FirstStart is set, with Seeds, on the first start of the whole system.
	FirstStart bool `toml:"first_start"`
	// HeartbeatMs is the interval between heartbeats of the leader.
	HeartbeatMs Millis `toml:"heartbeat_ms"`
	// ElectionMs is the least silence after which a replica stands for election.
	ElectionMs Millis `toml:"election_ms"`
	// LostAfterMs is the silence after which the leader removes a control VM
	// from the group; 0 means that operators do it. With Seeds, one that comes
	// back is added again by itself.
	LostAfterMs Millis `toml:"lost_after_ms"`
	// SnapshotEvery is the number of log entries between two snapshots.
	SnapshotEvery uint64      `toml:"snapshot_every"`
	Limits        Limits      `toml:"limits"`
	Keys          ControlKeys `toml:"keys"`
	Log           Log         `toml:"log"`
	Trace         Trace       `toml:"trace"`
	// TrustNetwork turns keys off, for a network that nobody but the system's
	// VMs, its operators and its upstreams can reach.
	TrustNetwork bool `toml:"trust_network"`
	// AuthDisabled turns keys off. Only code can set it, and only for listeners on
	// loopback.
	AuthDisabled bool `toml:"-"`
}

// Member is one replica of the control group.
type Member struct {
	ID      uint64 `toml:"id"`
	Address string `toml:"address"`
	Zone    string `toml:"zone"`
}

// ControlKeys names the key files of a control VM.
type ControlKeys struct {
	OperatorsFile string `toml:"operators_file"`
	ClusterFile   string `toml:"cluster_file"`
}

// DefaultControl returns the settings that apply where the file is silent.
func DefaultControl() Control {
	return Control{
		HeartbeatMs:   250,
		ElectionMs:    1_000,
		SnapshotEvery: 1_000,
		Limits:        defaultLimits(),
		Log:           Log{Level: "info"},
		Trace:         defaultTrace(),
	}
}

// Validate checks the settings. The error is of kind fault.Settings.
func (s Control) Validate() error { return validate(s) }

func (s Control) check(c *checker) {
	c.name("zone", s.Zone)
	c.required("data_dir", s.DataDir)
	s.checkAddresses(c)
	if len(s.Seeds) > 0 {
		s.checkSeeds(c)
	} else {
		c.positive("id", s.ID)
		s.checkMembers(c)
	}
	s.checkTimes(c)
	s.Limits.check(c, "limits")
	s.Log.check(c)
	s.Trace.check(c)
	if !s.AuthDisabled && !s.TrustNetwork {
		c.required("keys.operators_file", s.Keys.OperatorsFile)
		c.required("keys.cluster_file", s.Keys.ClusterFile)
	}
}

func (s Control) checkAddresses(c *checker) {
	listeners := []listener{
		{"cluster_listen", s.ClusterListen},
		{"operator_listen", s.OperatorListen},
	}
	if s.MetricsListen != "" {
		listeners = append(listeners, listener{"metrics_listen", s.MetricsListen})
	}
	c.listeners(listeners, s.AuthDisabled)
	c.reachable("cluster_address", s.ClusterAddress)
}

func (s Control) checkSeeds(c *checker) {
	for _, address := range s.Seeds {
		c.reachable("seeds", address)
	}
	if s.ID != 0 || len(s.Members) > 0 || s.Join {
		c.fail("seeds", "stands in place of id, members and join")
	}
}

func (s Control) checkMembers(c *checker) {
	if len(s.Members) == 0 {
		c.fail("members", "names no replica")
		return
	}
	ids := make(map[uint64]bool)
	addresses := make(map[string]bool)
	for i, m := range s.Members {
		key := indexed("members", i)
		c.positive(key+".id", m.ID)
		c.name(key+".zone", m.Zone)
		c.reachable(key+".address", m.Address)
		if ids[m.ID] {
			c.fail(key+".id", "%d is used twice", m.ID)
		}
		if addresses[m.Address] {
			c.fail(key+".address", "%s is used twice", m.Address)
		}
		ids[m.ID], addresses[m.Address] = true, true
	}
	s.checkSelf(c, ids[s.ID])
}

// checkSelf compares this replica with its own line in the member list.
func (s Control) checkSelf(c *checker, listed bool) {
	if s.Join {
		if listed {
			c.fail("members", "holds the id %d of a replica that is to join", s.ID)
		}
		return
	}
	if !listed {
		c.fail("members", "lacks this replica, id %d", s.ID)
	}
	for i, m := range s.Members {
		if m.ID == s.ID && m.Address != s.ClusterAddress {
			c.fail(indexed("members", i)+".address", "%s is not the cluster_address %s", m.Address, s.ClusterAddress)
		}
	}
}

func (s Control) checkTimes(c *checker) {
	c.between("heartbeat_ms", int64(s.HeartbeatMs), 5, maxHeartbeatMs)
	c.between("election_ms", int64(s.ElectionMs), 4*int64(s.HeartbeatMs), 60_000)
	if s.LostAfterMs != 0 {
		c.between("lost_after_ms", int64(s.LostAfterMs), 2*int64(s.ElectionMs), 3_600_000)
		if len(s.Seeds) == 0 {
			c.fail("lost_after_ms", "needs seeds: without them a VM that was removed does not come back by itself")
		}
	}
	c.between("snapshot_every", int64(min(s.SnapshotEvery, 1<<40)), 10, 1_000_000)
}
