package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"
)

// class is a kind of request of the clients.
type class struct {
	host, method, path string
	deadline           time.Duration
	retries            int
}

// attempt is one client attempt and its end.
type attempt struct {
	id      string
	gateway string
	// sent is the time at which the last byte was sent, ended that of the end.
	sent, ended time.Time
	status      int
	retryAfter  time.Duration
	// unsent is set if the request was not sent whole.
	unsent bool
	// err is set if no complete answer came.
	err error
}

// clients sends requests at a steady rate to the addresses that the directory names.
type clients struct {
	s     *system
	mu    sync.Mutex
	done  []attempt
	wg    sync.WaitGroup
	users [userCount]user
}

// userCount is the number of clients; each keeps an answer of the directory of its own.
const userCount = 48

// user is one client with the answer of the directory that it keeps.
type user struct {
	mu        sync.Mutex
	addresses []string
	fetched   time.Time
	ttl       time.Duration
}

// resolve returns the addresses of gateways that a client uses. It asks the directory when
// the answer that is kept has expired; every third client keeps it three times as long.
func (c *clients) resolve(ctx context.Context, n int) []string {
	u := &c.users[n]
	u.mu.Lock()
	defer u.mu.Unlock()
	keep := u.ttl
	if n%3 == 0 {
		keep *= 3
	}
	if time.Since(u.fetched) < keep {
		return u.addresses
	}
	for _, n := range rand.Perm(len(c.s.gateways)) {
		if c.fetch(ctx, u, c.s.gateways[n]) == nil {
			break
		}
	}
	return u.addresses
}

// fetch asks a gateway for the addresses. u.mu must be held.
func (c *clients) fetch(ctx context.Context, u *user, g *process) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	target := fmt.Sprintf("http://%s:%d%s?%s", g.ip, directoryPort, names["resolve"], url.Values{"name": {"retakes.example"}, "region": {"jm-south"}, "zone": {g.zone}}.Encode())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	resp, err := c.s.operator.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
		TTL       string   `json:"ttl"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil || len(answer.Addresses) == 0 {
		return fmt.Errorf("no addresses: %v", err)
	}
	ttl, err := time.ParseDuration(answer.TTL)
	if err != nil {
		return err
	}
	u.addresses, u.ttl, u.fetched = answer.Addresses, ttl, time.Now()
	return nil
}

// send starts requests at the given rate until ctx ends.
func (c *clients) send(ctx context.Context, k class, perSecond float64) {
	for {
		gap := time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(min(gap, time.Second)):
		}
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.request(k)
		}()
	}
}

// request makes the client attempts of one request.
func (c *clients) request(k class) {
	ctx, cancel := context.WithTimeout(context.Background(), k.deadline)
	defer cancel()
	deadline := time.Now().Add(k.deadline)
	client := rand.IntN(userCount)
	var failed []string
	for n := 0; n <= k.retries && ctx.Err() == nil; n++ {
		addresses := c.resolve(ctx, client)
		usable := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return slices.Contains(failed, a) })
		if len(usable) == 0 {
			usable = addresses
		}
		if len(usable) == 0 {
			return
		}
		to := usable[rand.IntN(len(usable))]
		a := c.attempt(k, to, deadline)
		c.mu.Lock()
		c.done = append(c.done, a)
		c.mu.Unlock()
		c.s.rec.line("client: request %s to %s sent %s: status %d retry-after %v error %v", a.id, a.gateway, c.s.rec.at(a.sent), a.status, a.retryAfter, a.err)
		if a.err != nil {
			failed = append(failed, to)
		}
		if a.status == http.StatusOK || a.status == http.StatusNotFound || a.status == http.StatusBadRequest {
			return
		}
		pause := min(a.retryAfter, time.Until(deadline)/3)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// attempt sends one client attempt on a new connection.
func (c *clients) attempt(k class, to string, deadline time.Time) attempt {
	a := attempt{id: fmt.Sprintf("%016x", rand.Uint64()), gateway: to}
	conn, err := net.DialTimeout("tcp4", to, time.Second)
	if err != nil {
		a.err, a.ended, a.unsent = err, time.Now(), true
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(deadline)
	left := time.Until(deadline).Milliseconds()
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%s: %d\r\n\r\n", k.method, k.path, k.host, a.id, names["deadline"], left)
	a.sent = time.Now()
	if err != nil {
		a.err, a.ended, a.unsent = err, time.Now(), true
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: k.method})
	if err == nil {
		a.status = resp.StatusCode
		if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			a.retryAfter = time.Duration(seconds * float64(time.Second))
		}
		_, err = io.Copy(io.Discard, resp.Body)
	}
	a.err, a.ended = err, time.Now()
	return a
}
