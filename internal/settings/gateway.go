package settings

// Gateway holds the settings of a gateway: an entry VM that serves the routes
// of a whole desired state and asks upstreams for their load before it places
// work there.
type Gateway struct {
	ID     string `toml:"id"`
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
	// CallerListen serves callers; CallerAddress is what look-ups tell them.
	CallerListen  string `toml:"caller_listen"`
	CallerAddress string `toml:"caller_address"`
	Addresses
	// Control lists the cluster addresses of a few control VMs; the others are
	// learned from them.
	Control []string `toml:"control"`
	// TrustNetwork turns keys off, for a network that nobody but the system's
	// VMs can reach.
	TrustNetwork    bool   `toml:"trust_network"`
	ClusterKeysFile string `toml:"cluster_keys_file"`
	// NamedPerZone is the number of gateways of an availability zone that
	// look-ups name to all callers; 0 spreads the callers over all. With few,
	// each knows more of the upstreams and keeps fewer connections. On small VMs
	// callers are spread.
	NamedPerZone int `toml:"named_per_zone"`
	// LinkMbps is the speed of the VM's link in Mbit/s and CPUShare its part of
	// a core; 0 means that they do not bind.
	LinkMbps float64 `toml:"link_mbps"`
	CPUShare float64 `toml:"cpu_share"`
	// LookupTTLMs is how long a caller may keep the answer to a look-up.
	LookupTTLMs Millis `toml:"lookup_ttl_ms"`
	// ServeMs is how long a stopping gateway still takes new calls, and StopMs
	// the time from the beginning of the stop to its end.
	ServeMs Millis `toml:"serve_ms"`
	StopMs  Millis `toml:"stop_ms"`
	// Retry bounds the requests that are sent again, over all gateways.
	Retry RetryBudget `toml:"retry"`
	// ColdShare is the part of the rate that a cold upstream bears which its
	// owner uses.
	ColdShare  float64    `toml:"cold_share"`
	Limits     Limits     `toml:"limits"`
	Quarantine Quarantine `toml:"quarantine"`
	Log        Log        `toml:"log"`
}

// RetryBudget bounds the requests that are sent to a service again.
type RetryBudget struct {
	// Ratio is the share of the requests for the service, Slack what is allowed
	// beyond it in a window.
	Ratio    float64 `toml:"ratio"`
	Slack    float64 `toml:"slack"`
	WindowMs Millis  `toml:"window_ms"`
}

// DefaultGateway returns the settings that apply where the file is silent.
func DefaultGateway() Gateway {
	return Gateway{
		NamedPerZone: 2,
		LookupTTLMs:  1_000,
		ServeMs:      3_000,
		StopMs:       5_700,
		Retry:        RetryBudget{Ratio: 0.2, Slack: 40, WindowMs: 10_000},
		ColdShare:    0.8,
		Limits:       defaultLimits(),
		Quarantine:   Quarantine{Threshold: 3, HoldMs: 600_000, MaxRequests: 10_000},
		Log:          Log{Level: "info"},
	}
}

// Validate checks the settings. The error is of kind fault.Settings.
func (s Gateway) Validate() error { return validate(s) }

func (s Gateway) check(c *checker) {
	c.name("id", s.ID)
	c.name("zone", s.Zone)
	c.name("region", s.Region)
	s.checkAddresses(c)
	c.between("named_per_zone", int64(s.NamedPerZone), 0, 64)
	if s.LinkMbps < 0 {
		c.fail("link_mbps", "%v is below 0", s.LinkMbps)
	}
	if s.CPUShare < 0 {
		c.fail("cpu_share", "%v is below 0", s.CPUShare)
	}
	c.between("lookup_ttl_ms", int64(s.LookupTTLMs), 50, 600_000)
	c.between("serve_ms", int64(s.ServeMs), 0, 600_000)
	c.between("stop_ms", int64(s.StopMs), int64(s.ServeMs), 3_600_000)
	c.between("retry.window_ms", int64(s.Retry.WindowMs), 100, 600_000)
	if s.Retry.Ratio < 0 || s.Retry.Ratio > 1 {
		c.fail("retry.ratio", "%v must lie between 0 and 1", s.Retry.Ratio)
	}
	if s.Retry.Slack < 0 {
		c.fail("retry.slack", "%v must not be below 0", s.Retry.Slack)
	}
	if s.ColdShare < 0 || s.ColdShare > 1 {
		c.fail("cold_share", "%v must lie between 0 and 1", s.ColdShare)
	}
	s.Limits.check(c, "limits")
	s.Quarantine.check(c)
	s.Log.check(c)
	if !s.TrustNetwork {
		c.required("cluster_keys_file", s.ClusterKeysFile)
	}
}

func (s Gateway) checkAddresses(c *checker) {
	listeners := []listener{{"caller_listen", s.CallerListen}, {"cluster_listen", s.ClusterListen}}
	if s.MetricsListen != "" {
		listeners = append(listeners, listener{"metrics_listen", s.MetricsListen})
	}
	c.listeners(listeners, false)
	c.reachable("caller_address", s.CallerAddress)
	c.reachable("cluster_address", s.ClusterAddress)
	if len(s.Control) == 0 {
		c.fail("control", "names no control VM")
	}
	for _, address := range s.Control {
		c.reachable("control", address)
	}
}

// LoadGateway reads and checks the settings of a gateway. The error is of kind
// fault.Settings and names file, line and key.
func LoadGateway(path string) (Gateway, error) {
	data, err := ReadFile(path)
	if err != nil {
		return Gateway{}, err
	}
	return ParseGateway(path, data)
}

// ParseGateway is LoadGateway for data that was read from file.
func ParseGateway(file string, data []byte) (Gateway, error) {
	s := DefaultGateway()
	if err := decode(file, data, &s); err != nil {
		return Gateway{}, err
	}
	return s, report(file, data, s)
}
