package settings

import "balsamcourse.example/balsamcourse/internal/allotment"

// Gateway holds the settings of a gateway: an entry VM that serves the routes
// of a desired state and probes the load of upstreams before it sends them
// requests.
type Gateway struct {
	ID     string `toml:"id"`
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
	// CallerListen is the listener for callers, CallerAddress the IP address and
	// port that look-ups return to them.
	CallerListen  string `toml:"caller_listen"`
	CallerAddress string `toml:"caller_address"`
	Addresses
	// Control lists the cluster addresses of a few control VMs, from which the
	// addresses of the others are learned.
	Control []string `toml:"control"`
	// TrustNetwork turns key authentication off, for a network that only the
	// system's VMs can reach.
	TrustNetwork bool `toml:"trust_network"`
	// ClusterKeysFile is the path of the key file for calls between processes of
	// the system.
	ClusterKeysFile string `toml:"cluster_keys_file"`
	// NamedPerZone is the number of gateways per availability zone that look-ups
	// return to all callers; 0 spreads the callers over all gateways. With few
	// gateways, each sees more of the upstreams' load and fewer connections to
	// upstreams are open. Gateways on VMs with a small LinkMbps or CPUShare spread
	// the callers regardless of this setting.
	NamedPerZone int `toml:"named_per_zone"`
	// LinkMbps is the bandwidth of the VM's link in Mbit/s and CPUShare the part
	// of a CPU core that it has; 0 means that they are not a limit.
	LinkMbps float64 `toml:"link_mbps"`
	CPUShare float64 `toml:"cpu_share"`
	// LookupTTLMs is how long callers may cache the response to a look-up.
	LookupTTLMs Millis `toml:"lookup_ttl_ms"`
	// ServeMs is how long a stopping gateway still accepts new calls, StopMs the
	// total duration of the stop. Both count from its start.
	ServeMs Millis `toml:"serve_ms"`
	StopMs  Millis `toml:"stop_ms"`
	// ApplyWithinMs is the time after its acknowledgement by which a change must be
	// in force. A gateway whose configuration has not been confirmed for nearly as
	// long does not refuse a call as one that the desired state does not allow.
	ApplyWithinMs Millis `toml:"apply_within_ms"`
	// RevokeWithinMs is the time after the acknowledgement of a desired state by
	// which the API keys that it removes must not work at any gateway, also at one
	// that is out of contact with control; 0 means no such guarantee. A gateway
	// refuses requests with an API key once its configuration has not been confirmed
	// for 0.95 of it.
	RevokeWithinMs Millis `toml:"revoke_within_ms"`
	// Retry is the retry budget that all gateways share.
	Retry RetryBudget `toml:"retry"`
	// Allotment says how much organisations may exceed their allotments.
	Allotment Allotment `toml:"allotment"`
	// ColdShare is the fraction, from 0 to 1, of a cold upstream's maximum request
	// rate that all gateways together send to it.
	ColdShare  float64    `toml:"cold_share"`
	Limits     Limits     `toml:"limits"`
	Quarantine Quarantine `toml:"quarantine"`
	Log        Log        `toml:"log"`
	Rollout    Rollout    `toml:"rollout"`
}

// RetryBudget limits the retries of requests to a service.
type RetryBudget struct {
	// Ratio is the number of retries allowed per request to the service in the
	// window, Slack the number allowed in addition.
	Ratio    float64 `toml:"ratio"`
	Slack    float64 `toml:"slack"`
	WindowMs Millis  `toml:"window_ms"`
}

// Allotment says by how much the requests of an organisation that upstreams run, over
// all gateways, may exceed its allotment.
type Allotment struct {
	// WindowMs is the period over which requests are counted. Overage is the part of
	// the allotment, Slack the number of requests, that may be run beyond it in any
	// window.
	WindowMs Millis  `toml:"window_ms"`
	Overage  float64 `toml:"overage"`
	Slack    float64 `toml:"slack"`
}

// Bounds returns the settings as package allotment uses them.
func (a Allotment) Bounds() allotment.Bounds {
	return allotment.Bounds{Window: a.WindowMs.Duration(), Overage: a.Overage, Slack: a.Slack}
}

func (a Allotment) check(c *checker) {
	c.between("allotment.window_ms", int64(a.WindowMs), 500, 600_000)
	if !(a.Overage >= 0 && a.Overage <= 1) {
		c.addf("allotment.overage", "%v must lie between 0 and 1", a.Overage)
	}
	if !(a.Slack >= 0 && a.Slack <= 1e6) {
		c.addf("allotment.slack", "%v must lie between 0 and 1000000", a.Slack)
	}
}

// DefaultGateway returns the defaults for keys that the settings file leaves
// out.
func DefaultGateway() Gateway {
	return Gateway{
		NamedPerZone:  2,
		LookupTTLMs:   1_000,
		ServeMs:       3_000,
		StopMs:        5_700,
		ApplyWithinMs: 2_000,
		Retry:         RetryBudget{Ratio: 0.2, Slack: 40, WindowMs: 10_000},
		Allotment:     Allotment{WindowMs: 5_000, Overage: 0.1, Slack: 20},
		ColdShare:     0.8,
		Limits:        defaultLimits(),
		Quarantine:    Quarantine{Threshold: 3, HoldMs: 600_000, MaxRequests: 10_000},
		Log:           Log{Level: "info"},
		Rollout:       defaultRollout(),
	}
}

// Validate reports all invalid settings as one error of kind fault.Settings.
func (s Gateway) Validate() error { return validate(s) }

func (s Gateway) check(c *checker) {
	c.name("id", s.ID)
	c.name("zone", s.Zone)
	c.name("region", s.Region)
	s.checkAddresses(c)
	c.between("named_per_zone", int64(s.NamedPerZone), 0, 64)
	if s.LinkMbps < 0 {
		c.addf("link_mbps", "%v must not be below 0", s.LinkMbps)
	}
	if s.CPUShare < 0 {
		c.addf("cpu_share", "%v must not be below 0", s.CPUShare)
	}
	c.between("lookup_ttl_ms", int64(s.LookupTTLMs), 50, 600_000)
	c.between("serve_ms", int64(s.ServeMs), 0, 600_000)
	c.between("stop_ms", int64(s.StopMs), int64(s.ServeMs), 3_600_000)
	c.between("apply_within_ms", int64(s.ApplyWithinMs), 100, 600_000)
	if s.RevokeWithinMs != 0 {
		// Below a second, usual pauses between two confirmations by control exceed the
		// limit on a gateway that is in contact with it.
		c.between("revoke_within_ms", int64(s.RevokeWithinMs), 1_000, 600_000)
	}
	c.between("retry.window_ms", int64(s.Retry.WindowMs), 100, 600_000)
	if s.Retry.Ratio < 0 || s.Retry.Ratio > 1 {
		c.addf("retry.ratio", "%v must lie between 0 and 1", s.Retry.Ratio)
	}
	if s.Retry.Slack < 0 {
		c.addf("retry.slack", "%v must not be below 0", s.Retry.Slack)
	}
	s.Allotment.check(c)
	if s.ColdShare < 0 || s.ColdShare > 1 {
		c.addf("cold_share", "%v must lie between 0 and 1", s.ColdShare)
	}
	s.Limits.check(c, "limits")
	s.Quarantine.check(c)
	s.Log.check(c)
	s.Rollout.check(c)
	if !s.TrustNetwork {
		c.required("cluster_keys_file", s.ClusterKeysFile)
	}
}

func (s Gateway) checkAddresses(c *checker) {
	listeners := []listenAddress{{"caller_listen", s.CallerListen}, {"cluster_listen", s.ClusterListen}}
	if s.MetricsListen != "" {
		listeners = append(listeners, listenAddress{"metrics_listen", s.MetricsListen})
	}
	c.listenAddresses(listeners, false)
	c.dialAddress("caller_address", s.CallerAddress)
	c.dialAddress("cluster_address", s.ClusterAddress)
	if len(s.Control) == 0 {
		c.addf("control", "must list at least one control VM")
	}
	for _, address := range s.Control {
		c.dialAddress("control", address)
	}
}

// LoadGateway reads and validates the settings of a gateway. An error is of kind
// fault.Settings and names file, line and key.
func LoadGateway(path string) (Gateway, error) {
	data, err := ReadFile(path)
	if err != nil {
		return Gateway{}, err
	}
	return ParseGateway(path, data)
}

// ParseGateway decodes and validates the settings of a gateway from data. Errors
// are those of LoadGateway and name file as their source.
func ParseGateway(file string, data []byte) (Gateway, error) {
	s := DefaultGateway()
	if err := decode(file, data, &s); err != nil {
		return Gateway{}, err
	}
	return s, checkWithLines(file, data, s)
}
