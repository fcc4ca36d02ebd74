package soak

import (
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"time"
)

// host is the host of all routes.
const host = "soak.example"

// Pools of the system.
const (
	poolA = "pool-a"
	poolB = "pool-b"
)

// route is a route of the desired states.
type route string

// Routes: requests of safeRoute and movingRoute may be repeated, the others run at most
// once. Each desired state decides anew where movingRoute leads.
const (
	safeRoute   route = "safe"
	payRoute    route = "pay"
	uploadRoute route = "upload"
	movingRoute route = "moving"
	crashRoute  route = "crash"
)

// safe reports whether requests may run more than once.
func (r route) safe() bool { return r != payRoute && r != uploadRoute }

// prefix returns the path prefix of the route.
func (r route) prefix() string { return "/" + string(r) + "/" }

// pools returns the pools to which the route may lead.
func (r route) pools() []string {
	switch r {
	case movingRoute:
		return []string{poolA, poolB}
	case payRoute, uploadRoute:
		return []string{poolB}
	}
	return []string{poolA}
}

const (
	routeTimeout  = 2 * time.Second
	targetLatency = 500 * time.Millisecond
)

// randomOf returns random numbers that depend on the request alone.
func randomOf(id string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return rand.New(rand.NewPCG(h.Sum64(), 1))
}

const (
	// maxFiller is the largest amount of filler in most bodies. One in largeShare has
	// largeFiller more, so that gateways pass the answer on before it is whole.
	maxFiller   = 12 << 10
	largeFiller = 1200 << 10
	largeShare  = 40
)

// bodyOf returns the body of a request, or of an answer if pool is not empty: the first
// line says whose it is, and the last holds the checksum of all before it.
func bodyOf(id, pool, upstream string) string {
	rng := randomOf(id + pool)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s\n", id, pool, upstream)
	filler := make([]byte, 1+rng.IntN(maxFiller))
	for i := range filler {
		filler[i] = byte('a' + rng.IntN(26))
	}
	b.Write(filler)
	if pool != "" && rng.IntN(largeShare) == 0 {
		for range largeFiller / len(filler) {
			b.Write(filler)
		}
	}
	fmt.Fprintf(&b, "\n%08x", crc32.ChecksumIEEE([]byte(b.String())))
	return b.String()
}

// readBody returns what the body of a message for the request says, or what is wrong
// with it.
func readBody(id, body string) (pool, upstream, wrong string) {
	first, _, _ := strings.Cut(body, "\n")
	fields := strings.Split(first, " ")
	at := strings.LastIndexByte(body, '\n')
	switch {
	case len(fields) != 3 || at < 0 || fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(body[:at]))) != body[at+1:]:
		return "", "", fmt.Sprintf("the body is not whole: %d bytes, %.40q", len(body), body)
	case fields[0] != id:
		return "", "", fmt.Sprintf("the body is that of request %s", fields[0])
	}
	return fields[1], fields[2], ""
}
