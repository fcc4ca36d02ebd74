package settings

import (
	"fmt"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"balsamcourse.example/balsamcourse/internal/fault"
)

// namePattern matches valid ids and names of zones and regions.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// problem is a settings key with the description of what is wrong with it.
type problem struct {
	key     string
	message string
}

// checker accumulates problems, so that one run reports all of them.
type checker struct {
	problems []problem
}

// checkable is implemented by the settings of each role; check reports invalid
// values to the checker.
type checkable interface{ check(*checker) }

// listenAddress is an address to listen on and the settings key that holds it.
type listenAddress struct {
	key     string
	address string
}

// validate checks s; its error names the key of each problem, but no line.
func validate(s checkable) error {
	var c checker
	s.check(&c)
	if len(c.problems) == 0 {
		return nil
	}
	lines := make([]string, len(c.problems))
	for i, p := range c.problems {
		lines[i] = p.key + ": " + p.message
	}
	return fault.New(fault.Settings, "%s", strings.Join(lines, "\n"))
}

// indexedKey returns the key of element i of an array, such as "members[2]".
func indexedKey(key string, i int) string {
	return key + "[" + strconv.Itoa(i) + "]"
}

func (c *checker) addf(key, format string, args ...any) {
	c.problems = append(c.problems, problem{key, fmt.Sprintf(format, args...)})
}

func (c *checker) required(key, value string) {
	if value == "" {
		c.addf(key, "is missing")
	}
}

func (c *checker) positive(key string, value uint64) {
	if value == 0 {
		c.addf(key, "is missing or 0")
	}
}

func (c *checker) name(key, value string) {
	if !namePattern.MatchString(value) {
		c.addf(key, "%q must be 1 to 63 of a-z, 0-9, '.', '_' and '-'", value)
	}
}

func (c *checker) between(key string, value, low, high int64) {
	if value < low || value > high {
		c.addf(key, "%d must lie between %d and %d", value, low, high)
	}
}

func (c *checker) oneOf(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.addf(key, "%q must be one of %s", value, strings.Join(allowed, ", "))
	}
}

// hostPort splits an address and reports a malformed one. The host may be
// empty, as in the address of a listener on all interfaces.
func (c *checker) hostPort(key, address string) (host, port string, ok bool) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		c.addf(key, "%q must have the form host:port", address)
		return "", "", false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil || n == 0 {
		c.addf(key, "%q must have a port between 1 and 65535", address)
		return "", "", false
	}
	return host, port, true
}

// dialAddress checks an address that other processes dial: it must hold an IP
// address other than the unspecified one.
func (c *checker) dialAddress(key, address string) {
	host, _, ok := c.hostPort(key, address)
	if !ok {
		return
	}
	ip := net.ParseIP(host)
	if ip == nil || ip.IsUnspecified() {
		c.addf(key, "%q must have an IP address that other processes can reach", address)
	}
}

// listenAddresses checks that no two listeners overlap and, if loopbackOnly is
// set, that all of them have loopback addresses.
func (c *checker) listenAddresses(all []listenAddress, loopbackOnly bool) {
	type parsed struct{ key, host, port string }
	var seen []parsed
	for _, l := range all {
		host, port, ok := c.hostPort(l.key, l.address)
		if !ok {
			continue
		}
		if loopbackOnly && !isLoopback(host) {
			c.addf(l.key, "%q must be a loopback address while key authentication is off", l.address)
		}
		for _, other := range seen {
			if port == other.port && hostsOverlap(host, other.host) {
				c.addf(l.key, "%q conflicts with %s", l.address, other.key)
			}
		}
		seen = append(seen, parsed{l.key, host, port})
	}
}

// hostsOverlap reports whether listeners on one port of hosts a and b conflict.
func hostsOverlap(a, b string) bool {
	return a == b || isUnspecified(a) || isUnspecified(b)
}

func isUnspecified(host string) bool {
	ip := net.ParseIP(host)
	return host == "" || ip != nil && ip.IsUnspecified()
}

func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}
