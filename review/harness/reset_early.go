package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["reset-early"] = resetEarly }

// resetEarly shows that an answer without a length that ends with a reset is passed on as
// a complete one, if the reset comes while the rest of a body of some kilobytes is being
// written to the instance.
func resetEarly(ctx context.Context, rec *record, trouble bool) (bool, error) {
	const (
		bodyBytes = 24000
		callers   = 48
		duration  = 70 * time.Second
		share     = 0.03
		enough    = 3
	)
	c, err := newCluster(rec, 3, 2)
	if err != nil {
		return false, err
	}
	defer c.stop()
	if err := c.start(); err != nil {
		return false, err
	}
	if _, err := c.order(ctx, 0, http.MethodPost, name("replacePath"), stateOf(3,
		routeOf("r-pay", "/pay/", "unsafe", "booking", "2500ms", "800ms"), serviceOf("booking"), limitsOf())); err != nil {
		return false, err
	}
	var garbled atomic.Int64
	whole := func(id string) []byte { return bytes.Repeat([]byte(id+";"), 200) }
	var instances []*instance
	for i := range 6 {
		in := newInstance(c, "booking", zoneNames[i%3], fmt.Sprintf("i-pay%d", i), 16, 5*time.Millisecond)
		in.handle = func(in *instance, conn net.Conn, r *http.Request, _ *bufio.Reader) bool {
			if !trouble || i%2 == 1 || rand.Float64() >= share {
				return false
			}
			id := r.Header.Get("Request-Id")
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s: %s\r\n\r\n", id, name("stamp"), stampOf(in.id, id))
			_, _ = conn.Write(append([]byte(head), whole(id)[:700]...))
			reset(conn)
			garbled.Add(1)
			in.rec.add("instance %s answers %s with 700 bytes of its body and a reset", in.id, id)
			return true
		}
		if err := in.boot(); err != nil {
			return false, err
		}
		go in.report(ctx)
		instances = append(instances, in)
	}
	defer func() {
		for _, in := range instances {
			in.end("end of the case")
		}
	}()
	if err := c.waitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	body := bytes.Repeat([]byte("x"), bodyBytes)
	end := time.Now().Add(duration)
	var total, ok, partial, other atomic.Int64
	var clients sync.WaitGroup
	for n := range callers {
		clients.Go(func() {
			for i := 0; time.Now().Before(end) && ctx.Err() == nil && partial.Load() < enough; i++ {
				m := c.entries[(n+i)%len(c.entries)]
				id := newRequestID()
				rec.add("client sends %s POST /pay/2f to %s", id, m.name)
				status, h, answer, err := exchange(m.ingress(), http.MethodPost, "/pay/2f", id, body, 5*time.Second)
				total.Add(1)
				rec.add("client gets for %s: %d, body %d bytes, %v", id, status, len(answer), err)
				switch {
				case err != nil || status != 200:
					other.Add(1)
				case bytes.Equal(answer, answerBody(id, len(body))):
					ok.Add(1)
				default:
					partial.Add(1)
					rec.say("client gets %d for %s with %d bytes of %d, complete by its framing (Content-Length %s), stamp %s", status, id, len(answer), len(whole(id)), h.Get("Content-Length"), h.Get(name("stamp")))
				}
			}
		})
	}
	clients.Wait()
	rec.say("%d requests, %d whole answers, %d failures, %d answers of instances reset on the way, %d of these passed on as complete", total.Load(), ok.Load(), other.Load(), garbled.Load(), partial.Load())
	return partial.Load() > 0, nil
}
