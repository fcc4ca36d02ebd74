package settings

import (
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/organisation"
)

// State is the TOML form of a complete desired state, which operators write.
type State struct {
	// Version must be higher than that of the desired state in force.
	Version uint64       `toml:"version"`
	Pools   []StatePool  `toml:"pools"`
	Routes  []StateRoute `toml:"routes"`
	Limits  StateLimits  `toml:"limits"`
	// Organisations are the groups of callers that have API keys. Without any,
	// requests need no key.
	Organisations []StateOrganisation `toml:"organisations"`
}

// StateOrganisation is a group of callers that share API keys and an allotment.
type StateOrganisation struct {
	Name    string   `toml:"name"`
	APIKeys []string `toml:"api_keys"`
	// Priority takes precedence over the priority of the route if it is set.
	Priority *uint32 `toml:"priority"`
	// RatePerS and Burst limit the requests over all gateways; if both are 0 there
	// is no limit.
	RatePerS float64 `toml:"rate_per_s"`
	Burst    float64 `toml:"burst"`
}

// StatePool is a set of upstreams that announce themselves under the same pool
// name.
type StatePool struct {
	Name           string  `toml:"name"`
	HealthPath     string  `toml:"health_path"`
	MaxConnections uint32  `toml:"max_connections"`
	ColdMs         uint32  `toml:"cold_ms"`
	ColdPerS       float64 `toml:"cold_per_s"`
}

// StateRoute selects the pools for requests with a host and a path prefix.
type StateRoute struct {
	Name       string `toml:"name"`
	Host       string `toml:"host"`
	PathPrefix string `toml:"path_prefix"`
	// Kind is "safe", "unsafe" or "upload".
	Kind            string       `toml:"kind"`
	TimeoutMs       uint32       `toml:"timeout_ms"`
	TargetLatencyMs uint32       `toml:"target_latency_ms"`
	Priority        uint32       `toml:"priority"`
	MaxAttempts     uint32       `toml:"max_attempts"`
	Shares          []StateShare `toml:"shares"`
	// Public routes take requests without an API key.
	Public bool `toml:"public"`
}

// StateShare is the weight of a pool in the traffic split of a route.
type StateShare struct {
	Pool   string  `toml:"pool"`
	Weight float64 `toml:"weight"`
}

// StateLimits bounds the requests and connections of callers.
type StateLimits struct {
	MaxHeaderBytes  uint32 `toml:"max_header_bytes"`
	MaxBodyBytes    uint64 `toml:"max_body_bytes"`
	HeaderTimeoutMs uint32 `toml:"header_timeout_ms"`
	IdleTimeoutMs   uint32 `toml:"idle_timeout_ms"`
}

var routeKinds = map[string]catalogpb.RouteKind{
	"safe":   catalogpb.RouteKind_ROUTE_KIND_SAFE,
	"unsafe": catalogpb.RouteKind_ROUTE_KIND_UNSAFE,
	"upload": catalogpb.RouteKind_ROUTE_KIND_UPLOAD,
}

// LoadState reads and validates a desired state. If the file cannot be read or
// decoded, the error is of kind fault.Settings; a decoding error names file, line
// and key. If the state is invalid, the error is of kind fault.InvalidChange and
// names the file and the item.
func LoadState(path string) (*catalogpb.DesiredState, error) {
	data, err := ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseState(path, data)
}

// ParseState decodes and validates a desired state from data. Errors are those
// of LoadState and name file as their source.
func ParseState(file string, data []byte) (*catalogpb.DesiredState, error) {
	var s State
	if err := decode(file, data, &s); err != nil {
		return nil, err
	}
	state := &catalogpb.DesiredState{Version: s.Version, Source: data, Limits: &catalogpb.CallerLimits{
		MaxHeaderBytes:  s.Limits.MaxHeaderBytes,
		MaxBodyBytes:    s.Limits.MaxBodyBytes,
		HeaderTimeoutMs: s.Limits.HeaderTimeoutMs,
		IdleTimeoutMs:   s.Limits.IdleTimeoutMs,
	}}
	for _, p := range s.Pools {
		state.Pools = append(state.Pools, &catalogpb.Pool{
			Name: p.Name, HealthPath: p.HealthPath, MaxConnections: p.MaxConnections, ColdMs: p.ColdMs, ColdPerS: p.ColdPerS,
		})
	}
	for _, r := range s.Routes {
		state.Routes = append(state.Routes, r.message())
	}
	for _, o := range s.Organisations {
		state.Organisations = append(state.Organisations, &catalogpb.Organisation{
			Name: o.Name, KeyDigests: organisation.Digests(o.APIKeys), Priority: o.Priority, RatePerS: o.RatePerS, Burst: o.Burst,
		})
	}
	if err := catalog.CheckState(state); err != nil {
		return nil, fault.New(fault.InvalidChange, "%s: %s", file, err.Detail)
	}
	return state, nil
}

func (r StateRoute) message() *catalogpb.Route {
	m := &catalogpb.Route{
		Name:            r.Name,
		Host:            r.Host,
		PathPrefix:      r.PathPrefix,
		Kind:            routeKinds[r.Kind],
		TimeoutMs:       r.TimeoutMs,
		TargetLatencyMs: r.TargetLatencyMs,
		Priority:        r.Priority,
		MaxAttempts:     r.MaxAttempts,
		Public:          r.Public,
	}
	for _, s := range r.Shares {
		m.Shares = append(m.Shares, &catalogpb.RouteShare{Pool: s.Pool, Weight: s.Weight})
	}
	return m
}
