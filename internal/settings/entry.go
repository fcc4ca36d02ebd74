package settings

// Dispatch policies: how an entry VM picks the upstream of a request.
const (
	PolicyCell      = "cell"
	PolicyCellPlain = "cell_plain"
	PolicyRandom    = "random"
	PolicyP2C       = "p2c"
	PolicyP2CShared = "p2c_shared"
)

// maxLeaseRenewalMs is the maximum interval between renewals of the configuration
// lease. It lets the lease survive one lost renewal.
const maxLeaseRenewalMs = 1_000

// maxAnnounceIntervalMs is the maximum interval between announcements. It keeps
// an upstream registered when two announcements in a row are lost.
const maxAnnounceIntervalMs = 1_000

// Entry holds the settings of an entry VM.
type Entry struct {
	ID     string `toml:"id"`
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
	// CallerListen is the listener for callers.
	CallerListen string `toml:"caller_listen"`
	// CallerAddress is the IP address and port that look-ups return to callers.
	CallerAddress string `toml:"caller_address"`
	// AnnounceListen is the listener for the announcements of upstreams.
	AnnounceListen string `toml:"announce_listen"`
	// AnnounceAddress is the IP address and port to which upstreams send
	// announcements.
	AnnounceAddress string `toml:"announce_address"`
	Addresses
	// Control lists the cluster addresses of the control VMs.
	Control []string `toml:"control"`
	// LookupTTLMs is how long callers may cache the response to a look-up.
	LookupTTLMs Millis `toml:"lookup_ttl_ms"`
	// DrainMs bounds the wait for calls in flight during a planned stop. The wait
	// starts once all look-up responses that callers may have cached have expired.
	DrainMs Millis `toml:"drain_ms"`
	// AnnounceEveryMs is the announcement interval that upstreams are told to
	// use.
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
	// AuthDisabled turns key authentication off. It has no settings key, and
	// validation then requires loopback addresses for all listeners.
	AuthDisabled bool `toml:"-"`
}

// Claims configures the storage of claims on idempotency keys on this VM.
type Claims struct {
	// RetentionMs is how long a claim is stored, from its creation.
	RetentionMs Millis `toml:"retention_ms"`
	MaxClaims   int    `toml:"max_claims"`
	// MaxKeptBytes is the maximum size of a stored response.
	MaxKeptBytes int `toml:"max_kept_bytes"`
	// MaxTotalBytes is the maximum total size of the stored responses.
	MaxTotalBytes int64 `toml:"max_total_bytes"`
}

// Quarantine configures the rejection of requests that repeatedly broke the
// connection to their upstream.
type Quarantine struct {
	// Threshold is the number of upstreams that a request has to crash to be
	// quarantined, 2 at least: all but the first while it was sent alone.
	Threshold int `toml:"threshold"`
	// HoldMs is how long a broken connection counts towards Threshold, and hence
	// how long a quarantined request is rejected.
	HoldMs Millis `toml:"hold_ms"`
	// MaxRequests is the maximum number of requests that are tracked.
	MaxRequests int `toml:"max_requests"`
}

// EntryKeys holds the paths of the key files of an entry VM.
type EntryKeys struct {
	UpstreamsFile string `toml:"upstreams_file"`
	ClusterFile   string `toml:"cluster_file"`
}

// DefaultEntry returns the defaults for keys that the settings file leaves out.
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

// Validate reports all invalid settings as one error of kind fault.Settings.
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
	listeners := []listenAddress{
		{"caller_listen", s.CallerListen},
		{"announce_listen", s.AnnounceListen},
		{"cluster_listen", s.ClusterListen},
	}
	if s.MetricsListen != "" {
		listeners = append(listeners, listenAddress{"metrics_listen", s.MetricsListen})
	}
	c.listenAddresses(listeners, s.AuthDisabled)
	c.dialAddress("caller_address", s.CallerAddress)
	c.dialAddress("announce_address", s.AnnounceAddress)
	c.dialAddress("cluster_address", s.ClusterAddress)
	if len(s.Control) == 0 {
		c.addf("control", "must list at least one control VM")
	}
	for _, address := range s.Control {
		c.dialAddress("control", address)
	}
}

func (s Entry) checkTimes(c *checker) {
	c.between("lookup_ttl_ms", int64(s.LookupTTLMs), 50, 600_000)
	c.between("drain_ms", int64(s.DrainMs), 0, 3_600_000)
	c.between("renew_ms", int64(s.RenewMs), 50, maxLeaseRenewalMs)
	c.between("announce_every_ms", int64(s.AnnounceEveryMs), 50, maxAnnounceIntervalMs)
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
