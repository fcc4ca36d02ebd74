// Package settings loads and validates the TOML settings files of the daemons
// and the desired state that operators apply.
//
// Decoding is strict: an unknown key, a value of the wrong type, a value out of
// range or two listeners on one address is an error that names file, line and
// key.
package settings

import (
	"runtime/debug"
	"time"

	"balsamcourse.example/balsamcourse/internal/httpnet"
)

// Millis is a duration in milliseconds. Its settings keys end in "_ms".
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Log configures the event log.
type Log struct {
	// Level is the lowest severity that is logged: debug, info, warn or error.
	Level string `toml:"level"`
}

// Trace exporters: none, a file of JSON spans, or an OTLP/HTTP collector.
const (
	TraceOff  = "off"
	TraceFile = "file"
	TraceOTLP = "otlp"
)

// Trace configures tracing.
type Trace struct {
	// Exporter is TraceOff, TraceFile or TraceOTLP.
	Exporter string `toml:"exporter"`
	// File is the path that TraceFile appends to, one JSON object per span.
	File string `toml:"file"`
	// Endpoint is the "host:port" of the OTLP/HTTP collector for TraceOTLP.
	Endpoint string `toml:"endpoint"`
	// SamplePermille is the share of new traces that is sampled, in permille. A
	// trace that the caller started follows the caller's sampling decision.
	SamplePermille int `toml:"sample_permille"`
}

// Limits bounds the connections and requests that a listener accepts.
type Limits struct {
	MaxHeaderBytes      int    `toml:"max_header_bytes"`
	ReadHeaderTimeoutMs Millis `toml:"read_header_timeout_ms"`
	// ReadBodyTimeoutMs bounds the wait for the next bytes of a request body.
	ReadBodyTimeoutMs Millis `toml:"read_body_timeout_ms"`
	IdleTimeoutMs     Millis `toml:"idle_timeout_ms"`
	MaxBodyBytes      int64  `toml:"max_body_bytes"`
	MaxInFlight       int    `toml:"max_in_flight"`
	MaxConnections    int    `toml:"max_connections"`
	// MemoryMB is the memory of the process in MiB. The memory and the connections that
	// clients may take are derived from it.
	MemoryMB int64 `toml:"memory_mb"`
}

// ClientBudget returns a budget for what the process holds for its clients.
func (l Limits) ClientBudget() *httpnet.Budget {
	return httpnet.NewBudget(l.MemoryMB<<20, l.MaxConnections)
}

const (
	// upstreamsPercent is the part of the memory of a control VM that recorded upstreams may
	// use, and upstreamBytes what one takes with its share of the configurations that are
	// kept to send differences.
	upstreamsPercent = 10
	upstreamBytes    = 4 << 10
)

// MaxUpstreams returns the number of upstreams that a control VM records.
func (l Limits) MaxUpstreams() int {
	return int(l.MemoryMB << 20 / 100 * upstreamsPercent / upstreamBytes)
}

// memoryLimitPercent is the soft memory limit of the Go runtime, in percent of the memory
// that the process may use. The rest covers memory that the runtime does not count, such as
// stacks of the C library and socket buffers.
const memoryLimitPercent = 60

// LimitMemory sets the soft memory limit of the Go runtime for this process.
func (l Limits) LimitMemory() { debug.SetMemoryLimit(l.MemoryMB << 20 * memoryLimitPercent / 100) }

// Listener returns the limits that the HTTP server enforces. The body limits
// and MaxInFlight are left to the handlers.
func (l Limits) Listener() httpnet.Limits {
	return httpnet.Limits{
		MaxHeaderBytes:    l.MaxHeaderBytes,
		ReadHeaderTimeout: l.ReadHeaderTimeoutMs.Duration(),
		IdleTimeout:       l.IdleTimeoutMs.Duration(),
		MaxConnections:    l.MaxConnections,
	}
}

// Addresses holds the address settings that control VMs and entry VMs have in
// common.
type Addresses struct {
	// ClusterListen is the listener for other processes of the system.
	ClusterListen string `toml:"cluster_listen"`
	// ClusterAddress is the IP address and port at which other processes dial
	// ClusterListen.
	ClusterAddress string `toml:"cluster_address"`
	// MetricsListen is the listener of the scrape endpoint; empty disables it.
	MetricsListen string `toml:"metrics_listen"`
}

func defaultLimits() Limits {
	return Limits{
		MaxHeaderBytes:      16 << 10,
		ReadHeaderTimeoutMs: 5_000,
		ReadBodyTimeoutMs:   60_000,
		IdleTimeoutMs:       60_000,
		MaxBodyBytes:        256 << 20,
		MaxInFlight:         1_024,
		MaxConnections:      4_096,
		MemoryMB:            1_024,
	}
}

func defaultTrace() Trace {
	return Trace{Exporter: TraceOff, SamplePermille: 1000}
}

// MinMemoryMB is the least memory of a process: an idle one uses about 30 MB.
const MinMemoryMB = 64

func (l Limits) check(c *checker, key string) {
	c.between(key+".max_header_bytes", int64(l.MaxHeaderBytes), 1<<10, 1<<20)
	c.between(key+".read_header_timeout_ms", int64(l.ReadHeaderTimeoutMs), 10, 600_000)
	c.between(key+".read_body_timeout_ms", int64(l.ReadBodyTimeoutMs), 10, 3_600_000)
	c.between(key+".idle_timeout_ms", int64(l.IdleTimeoutMs), 10, 3_600_000)
	c.between(key+".max_body_bytes", l.MaxBodyBytes, 1, 1<<32)
	c.between(key+".max_in_flight", int64(l.MaxInFlight), 1, 1<<20)
	c.between(key+".max_connections", int64(l.MaxConnections), 1, 1<<20)
	c.between(key+".memory_mb", l.MemoryMB, MinMemoryMB, 1<<20)
}

func (t Trace) check(c *checker) {
	c.oneOf("trace.exporter", t.Exporter, TraceOff, TraceFile, TraceOTLP)
	c.between("trace.sample_permille", int64(t.SamplePermille), 0, 1000)
	if t.Exporter == TraceFile {
		c.required("trace.file", t.File)
	}
	if t.Exporter == TraceOTLP {
		c.hostPort("trace.endpoint", t.Endpoint)
	}
}

func (l Log) check(c *checker) {
	c.oneOf("log.level", l.Level, "debug", "info", "warn", "error")
}
