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

// namePattern is the form of ids and of the names of zones and regions.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// problem is one thing that is wrong with a settings file.
type problem struct {
	key  string
	text string
}

// checker collects problems.
type checker struct {
	problems []problem
}

// checkable is implemented by the settings of each role.
type checkable interface{ check(*checker) }

// listener is an address to listen on, with its key.
type listener struct {
	key     string
	address string
}

func validate(s checkable) error {
	var c checker
	s.check(&c)
	if len(c.problems) == 0 {
		return nil
	}
	lines := make([]string, len(c.problems))
	for i, p := range c.problems {
		lines[i] = p.key + ": " + p.text
	}
	return fault.New(fault.Settings, "%s", strings.Join(lines, "\n"))
}

func indexed(key string, i int) string {
	return key + "[" + strconv.Itoa(i) + "]"
}

func (c *checker) fail(key, format string, args ...any) {
	c.problems = append(c.problems, problem{key, fmt.Sprintf(format, args...)})
}

func (c *checker) required(key, value string) {
	if value == "" {
		c.fail(key, "is missing")
	}
}

func (c *checker) positive(key string, value uint64) {
	if value == 0 {
		c.fail(key, "is missing or 0")
	}
}

func (c *checker) name(key, value string) {
	if !namePattern.MatchString(value) {
		c.fail(key, "%q must be 1 to 63 of a-z, 0-9, '.', '_' and '-'", value)
	}
}

func (c *checker) between(key string, value, low, high int64) {
	if value < low || value > high {
		c.fail(key, "%d must lie between %d and %d", value, low, high)
	}
}

func (c *checker) oneOf(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.fail(key, "%q must be one of %s", value, strings.Join(allowed, ", "))
	}
}

// listen checks an address to listen on; its host may be empty.
func (c *checker) listen(key, address string) (host, port string, ok bool) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		c.fail(key, "%q must have the form host:port", address)
		return "", "", false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil || n == 0 {
		c.fail(key, "%q must have a port between 1 and 65535", address)
		return "", "", false
	}
	return host, port, true
}

// reachable checks an address that other processes dial.
func (c *checker) reachable(key, address string) {
	host, _, ok := c.listen(key, address)
	if !ok {
		return
	}
	ip := net.ParseIP(host)
	if ip == nil || ip.IsUnspecified() {
		c.fail(key, "%q must have an IP address that others can reach", address)
	}
}

// listeners checks that no two listeners clash and, when loopbackOnly is set,
// that all of them are on loopback.
func (c *checker) listeners(all []listener, loopbackOnly bool) {
	type parsed struct{ key, host, port string }
	var seen []parsed
	for _, l := range all {
		host, port, ok := c.listen(l.key, l.address)
		if !ok {
			continue
		}
		if loopbackOnly && !isLoopback(host) {
			c.fail(l.key, "%q must be on loopback while keys are off", l.address)
		}
		for _, other := range seen {
			if port == other.port && hostsOverlap(host, other.host) {
				c.fail(l.key, "%q clashes with %s", l.address, other.key)
			}
		}
		seen = append(seen, parsed{l.key, host, port})
	}
}

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
