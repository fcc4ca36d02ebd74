package settings

// Dispatch policies.
const (
	PolicyCell      = "cell"
	PolicyCellPlain = "cell_plain"
	PolicyRandom    = "random"
	PolicyP2C       = "p2c"
	PolicyP2CShared = "p2c_shared"
)

// maxRenewMs bounds the interval between renewals, so that a lost one does not
// cost the lease.
const maxRenewMs = 1_000

// maxAnnounceMs bounds the interval between announcements, so that two lost
// ones do not let an upstream count as gone.
const maxAnnounceMs = 1_000

// Entry holds the settings of an entry VM.
type Entry struct {
	ID     string `toml:"id"`
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
	// CallerListen serves callers.
	CallerListen string `toml:"caller_listen"`
	// CallerAddress is the IP address and port that callers are told to use.
	CallerAddress string `toml:"caller_address"`
	// AnnounceListen serves the announcements of upstreams.
	AnnounceListen string `toml:"announce_listen"`
	// AnnounceAddress is the IP address and port that upstreams use.
	AnnounceAddress string `toml:"announce_address"`
	Addresses
	// Control lists the cluster addresses of the control VMs.
	Control []string `toml:"control"`
	// LookupTTLMs is how long a caller may keep the answer to a look-up.
	LookupTTLMs Millis `toml:"lookup_ttl_ms"`
	// DrainMs bounds the wait for calls in flight at a planned stop, after
	// the longest look-up answer has run out.
	DrainMs Millis `toml:"drain_ms"`
	// AnnounceEveryMs is the interval at which upstreams are asked to announce
	// themselves.
	AnnounceEveryMs Millis `toml:"announce_every_ms"`
	DispatchPolicy  string `toml:"dispatch_policy"`
	// RenewMs is the interval between renewals of the configuration lease.
	RenewMs    Millis     `toml:"renew_ms"`
	Limits     Limits     `toml:"limits"`
	Claims     Claims     `toml:"claims"`
	Quarantine Quarantine `toml:"quarantine"`
	Keys       EntryKeys  `toml:"keys"`
	Log        Log        `toml:"log"`
	Trace      Trace      `toml:"trace"`
	// AuthDisabled turns keys off. Only code can set it, and only for listeners on
	// loopback.
	AuthDisabled bool `toml:"-"`
}

// Claims configures the claims on idempotency keys that this VM keeps.
type Claims struct {
	// RetentionMs is how long a claim is kept after it was made.
	RetentionMs Millis `toml:"retention_ms"`
	MaxClaims   int    `toml:"max_claims"`
	// MaxKeptBytes bounds one kept answer.
	MaxKeptBytes int `toml:"max_kept_bytes"`
	// MaxTotalBytes bounds all kept answers together.
	MaxTotalBytes int64 `toml:"max_total_bytes"`
}

// Quarantine configures how requests that break upstreams are held off.
type Quarantine struct {
	// Threshold is the number of broken connections that quarantines a request.
	Threshold int `toml:"threshold"`
	// HoldMs is how long a broken connection counts, and thus how long a
	// quarantined request is refused.
	HoldMs Millis `toml:"hold_ms"`
	// MaxRequests bounds the requests that are remembered.
	MaxRequests int `toml:"max_requests"`
}

// EntryKeys names the key files of an entry VM.
type EntryKeys struct {
	UpstreamsFile string `toml:"upstreams_file"`
	ClusterFile   string `toml:"cluster_file"`
}

// DefaultEntry returns the settings that apply where the file is silent.
func DefaultEntry() Entry {
	return Entry{
		LookupTTLMs:     5_000,
		DrainMs:         30_000,
		AnnounceEveryMs: 500,
		DispatchPolicy:  PolicyCell,
		RenewMs:         1_000,
		Limits:          defaultLimits(),
		Claims: Claims{
			RetentionMs:   600_000,
			MaxClaims:     100_000,
			MaxKeptBytes:  16 << 10,
			MaxTotalBytes: 32 << 20,
		},
		Quarantine: Quarantine{Threshold: 2, HoldMs: 600_000, MaxRequests: 10_000},
		Log:        Log{Level: "info"},
		Trace:      defaultTrace(),
	}
}

// Validate checks the settings. The error is of kind fault.Settings.
func (s Entry) Validate() error { return validate(s) }

func (s Entry) check(c *checker) {
	c.name("id", s.ID)
	c.name("zone", s.Zone)
	c.name("region", s.Region)
	s.checkAddresses(c)
	s.checkTimes(c)
	c.oneOf("dispatch_policy", s.DispatchPolicy, PolicyCell, PolicyCellPlain, PolicyRandom, PolicyP2C, PolicyP2CShared)
	s.Limits.check(c, "limits")
	s.Claims.check(c)
	s.Quarantine.check(c)
	s.Log.check(c)
	s.Trace.check(c)
	if !s.AuthDisabled {
		c.required("keys.upstreams_file", s.Keys.UpstreamsFile)
		c.required("keys.cluster_file", s.Keys.ClusterFile)
	}
}

func (s Entry) checkAddresses(c *checker) {
	listeners := []listener{
		{"caller_listen", s.CallerListen},
		{"announce_listen", s.AnnounceListen},
		{"cluster_listen", s.ClusterListen},
	}
	if s.MetricsListen != "" {
		listeners = append(listeners, listener{"metrics_listen", s.MetricsListen})
	}
	c.listeners(listeners, s.AuthDisabled)
	c.reachable("caller_address", s.CallerAddress)
	c.reachable("announce_address", s.AnnounceAddress)
	c.reachable("cluster_address", s.ClusterAddress)
	if len(s.Control) == 0 {
		c.fail("control", "names no control VM")
	}
	for _, address := range s.Control {
		c.reachable("control", address)
	}
}

func (s Entry) checkTimes(c *checker) {
	c.between("lookup_ttl_ms", int64(s.LookupTTLMs), 50, 600_000)
	c.between("drain_ms", int64(s.DrainMs), 0, 3_600_000)
	c.between("renew_ms", int64(s.RenewMs), 50, maxRenewMs)
	c.between("announce_every_ms", int64(s.AnnounceEveryMs), 50, maxAnnounceMs)
}

func (s Claims) check(c *checker) {
	c.between("claims.retention_ms", int64(s.RetentionMs), 1_000, 86_400_000)
	c.between("claims.max_claims", int64(s.MaxClaims), 1, 10_000_000)
	c.between("claims.max_kept_bytes", int64(s.MaxKeptBytes), 0, 1<<20)
	c.between("claims.max_total_bytes", s.MaxTotalBytes, int64(s.MaxKeptBytes), 1<<32)
}

func (s Quarantine) check(c *checker) {
	c.between("quarantine.threshold", int64(s.Threshold), 1, 100)
	c.between("quarantine.hold_ms", int64(s.HoldMs), 100, 86_400_000)
	c.between("quarantine.max_requests", int64(s.MaxRequests), 1, 10_000_000)
}
