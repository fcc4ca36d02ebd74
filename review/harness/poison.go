package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// poisonPath is the path of the request that crashes the instances which run it.
const poisonPath = "/look/poison"

func init() { cases["poison"] = poisonAfterKills }

// poisonAfterKills shows that the knowledge of a request that crashes instances is lost
// when the processes of all entry machines are killed at the same moment.
func poisonAfterKills(ctx context.Context, rec *record, trouble bool) (bool, error) {
	const (
		kills     = 1
		downFor   = 3 * time.Second
		retryGap  = 1500 * time.Millisecond
		attempts  = 6
		instances = 8
	)
	c, err := newCluster(rec, 3, 3)
	if err != nil {
		return false, err
	}
	defer c.stop()
	if err := c.start(); err != nil {
		return false, err
	}
	if _, err := c.order(ctx, 0, http.MethodPost, name("replacePath"), stateOf(3,
		routeOf("r-look", "/look/", "safe", "booking", "2000ms", "600ms"), serviceOf("booking"), limitsOf())); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var crashes []time.Time
	var all []*instance
	for i := range instances {
		in := newInstance(c, "booking", zoneNames[i%3], fmt.Sprintf("i-p%d-1", i), 2, 30*time.Millisecond)
		boots := 1
		in.handle = func(in *instance, _ net.Conn, r *http.Request, _ *bufio.Reader) bool {
			if r.URL.Path != poisonPath {
				return false
			}
			in.note(r, true)
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			in.end("crashed by " + r.Header.Get("Request-Id"))
			go func() {
				time.Sleep(downFor)
				if ctx.Err() != nil {
					return
				}
				in.mu.Lock()
				boots++
				in.id = fmt.Sprintf("i-p%d-%d", i, boots)
				in.mu.Unlock()
				// It fails only at the end of the case.
				_ = in.boot()
			}()
			return true
		}
		if err := in.boot(); err != nil {
			return false, err
		}
		go in.report(ctx)
		all = append(all, in)
	}
	defer func() {
		for _, in := range all {
			in.end("end of the case")
		}
	}()
	if err := c.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	count := func(after time.Time) int {
		mu.Lock()
		defer mu.Unlock()
		n := 0
		for _, at := range crashes {
			if at.After(after) {
				n++
			}
		}
		return n
	}
	// come sends the request again and again, at all machines.
	come := func(why string) {
		for range attempts {
			var callers sync.WaitGroup
			for _, m := range c.entries {
				callers.Go(func() { attempt(rec, m, http.MethodGet, poisonPath, nil, 4*time.Second) })
			}
			callers.Wait()
			time.Sleep(retryGap)
		}
		rec.say("%s: the request has crashed %d instances so far", why, count(time.Time{}))
	}
	come("first time")
	mu.Lock()
	if len(crashes) < 3 {
		mu.Unlock()
		return false, fmt.Errorf("the request has crashed %d instances, 3 are needed", len(crashes))
	}
	third := crashes[2]
	mu.Unlock()
	time.Sleep(time.Until(third.Add(boundContact)))
	counted := 0
	for k := range kills {
		if trouble {
			rec.say("the processes of all entry machines are killed")
			for _, m := range c.entries {
				m.kill()
			}
			time.Sleep(300 * time.Millisecond)
			for _, m := range c.entries {
				if err := m.start(false); err != nil {
					return false, err
				}
			}
			if err := c.waitReady(20 * time.Second); err != nil {
				return false, err
			}
		}
		// Everything is in touch again.
		time.Sleep(boundContact + 2*time.Second)
		from := time.Now()
		come(fmt.Sprintf("after kill %d", k+1))
		counted += count(from)
	}
	rec.say("requests that reached instances, in retries sent by machines in touch later than %v after the third crash: %d (3 are allowed)", boundContact, counted)
	return counted > 3, nil
}
