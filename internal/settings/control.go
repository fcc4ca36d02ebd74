package settings

// maxHeartbeatMs is the maximum interval between heartbeats. The leader grants
// configuration leases only while a quorum has recently answered a heartbeat.
const maxHeartbeatMs = 250

// Control holds the settings of a control VM.
type Control struct {
	// ID is the replica id. A VM that lost its disk must get a new id.
	ID uint64 `toml:"id"`
	// Zone is the availability zone of this VM.
	Zone string `toml:"zone"`
	// DataDir is the directory of the replicated log and its snapshots.
	DataDir string `toml:"data_dir"`
	Addresses
	// OperatorListen is the listener for operators.
	OperatorListen string `toml:"operator_listen"`
	// Members is the initial control group or, with Join, the replicas to contact.
	Members []Member `toml:"members"`
	// Join makes the replica wait until it is added to an existing group.
	Join bool `toml:"join"`
	// Seeds lists the cluster addresses of a few control VMs. It replaces ID,
	// Members and Join: the group forms, and adds replicas, automatically.
	Seeds []string `toml:"seeds"`
	// FirstStart lets the seeds form a new group. It is set, with Seeds, only for
	// the first start of the whole system.
	FirstStart bool `toml:"first_start"`
	// HeartbeatMs is the interval between heartbeats of the leader.
	HeartbeatMs Millis `toml:"heartbeat_ms"`
	// ElectionMs is the minimum time without contact to a leader after which a
	// replica stands for election.
	ElectionMs Millis `toml:"election_ms"`
	// LostAfterMs is the time without contact after which the leader removes a
	// control VM from the group; 0 leaves removal to operators. It requires Seeds,
	// with which a removed VM that returns is added again automatically.
	LostAfterMs Millis `toml:"lost_after_ms"`
	// ToleratedLosses is the number of control VMs that may lose their disks at the same
	// time. The group keeps twice as many voters and one more, if it has them.
	ToleratedLosses int `toml:"tolerated_losses"`
	// SnapshotEvery is the number of log entries between snapshots.
	SnapshotEvery uint64      `toml:"snapshot_every"`
	Limits        Limits      `toml:"limits"`
	Keys          ControlKeys `toml:"keys"`
	Log           Log         `toml:"log"`
	Trace         Trace       `toml:"trace"`
	Rollout       Rollout     `toml:"rollout"`
	// TrustNetwork turns key authentication off, for a network that only the
	// system's VMs, its operators and its upstreams can reach.
	TrustNetwork bool `toml:"trust_network"`
	// AuthDisabled turns key authentication off. It has no settings key, and
	// validation then requires loopback addresses for all listeners.
	AuthDisabled bool `toml:"-"`
}

// Member is one replica of the control group.
type Member struct {
	ID      uint64 `toml:"id"`
	Address string `toml:"address"`
	Zone    string `toml:"zone"`
}

// ControlKeys holds the paths of the key files of a control VM.
type ControlKeys struct {
	OperatorsFile string `toml:"operators_file"`
	ClusterFile   string `toml:"cluster_file"`
}

// DefaultControl returns the defaults for keys that the settings file leaves
// out.
func DefaultControl() Control {
	return Control{
		HeartbeatMs:     250,
		ElectionMs:      1_000,
		SnapshotEvery:   1_000,
		ToleratedLosses: 1,
		Limits:          defaultLimits(),
		Log:             Log{Level: "info"},
		Trace:           defaultTrace(),
		Rollout:         defaultRollout(),
	}
}

// Validate reports all invalid settings as one error of kind fault.Settings.
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
	s.Rollout.check(c)
	if !s.AuthDisabled && !s.TrustNetwork {
		c.required("keys.operators_file", s.Keys.OperatorsFile)
		c.required("keys.cluster_file", s.Keys.ClusterFile)
	}
}

func (s Control) checkAddresses(c *checker) {
	listeners := []listenAddress{
		{"cluster_listen", s.ClusterListen},
		{"operator_listen", s.OperatorListen},
	}
	if s.MetricsListen != "" {
		listeners = append(listeners, listenAddress{"metrics_listen", s.MetricsListen})
	}
	c.listenAddresses(listeners, s.AuthDisabled)
	c.dialAddress("cluster_address", s.ClusterAddress)
}

func (s Control) checkSeeds(c *checker) {
	for _, address := range s.Seeds {
		c.dialAddress("seeds", address)
	}
	if s.ID != 0 || len(s.Members) > 0 || s.Join {
		c.addf("seeds", "must not be combined with id, members or join")
	}
}

func (s Control) checkMembers(c *checker) {
	if len(s.Members) == 0 {
		c.addf("members", "must list at least one replica")
		return
	}
	ids := make(map[uint64]bool)
	addresses := make(map[string]bool)
	for i, m := range s.Members {
		key := indexedKey("members", i)
		c.positive(key+".id", m.ID)
		c.name(key+".zone", m.Zone)
		c.dialAddress(key+".address", m.Address)
		if ids[m.ID] {
			c.addf(key+".id", "%d is used twice", m.ID)
		}
		if addresses[m.Address] {
			c.addf(key+".address", "%s is used twice", m.Address)
		}
		ids[m.ID], addresses[m.Address] = true, true
	}
	s.checkSelf(c, ids[s.ID])
}

// checkSelf checks the member list for this replica: it must hold the replica's
// id and cluster address or, with Join, not hold its id.
func (s Control) checkSelf(c *checker, listed bool) {
	if s.Join {
		if listed {
			c.addf("members", "must not list id %d, this replica, while join is set", s.ID)
		}
		return
	}
	if !listed {
		c.addf("members", "must list id %d, this replica", s.ID)
	}
	for i, m := range s.Members {
		if m.ID == s.ID && m.Address != s.ClusterAddress {
			c.addf(indexedKey("members", i)+".address", "%s is not the cluster_address %s", m.Address, s.ClusterAddress)
		}
	}
}

func (s Control) checkTimes(c *checker) {
	c.between("heartbeat_ms", int64(s.HeartbeatMs), 5, maxHeartbeatMs)
	c.between("election_ms", int64(s.ElectionMs), 4*int64(s.HeartbeatMs), 60_000)
	if s.LostAfterMs != 0 {
		c.between("lost_after_ms", int64(s.LostAfterMs), 2*int64(s.ElectionMs), 3_600_000)
		if len(s.Seeds) == 0 {
			c.addf("lost_after_ms", "requires seeds: without them a removed VM is not added again automatically")
		}
	}
	c.between("tolerated_losses", int64(s.ToleratedLosses), 1, 16)
	c.between("snapshot_every", int64(min(s.SnapshotEvery, 1<<40)), 10, 1_000_000)
}
