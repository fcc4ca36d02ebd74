package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["late-reader"] = lateReader }

// lateReader shows that a machine which is stopped breaks off uploads at which instances
// are at work, if these read the body only after two seconds.
func lateReader(ctx context.Context, rec *record, trouble bool) (bool, error) {
	const (
		bodyBytes = 360000
		uploads   = 6
		work      = 2600 * time.Millisecond
		grace     = 6 * time.Second
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
		routeOf("r-upload", "/upload/", "upload", "proofs", "5000ms", "800ms"), serviceOf("proofs"), limitsOf())); err != nil {
		return false, err
	}
	type span struct{ from, to time.Time }
	var mu sync.Mutex
	atWork := map[string]span{}
	var all []*instance
	for i := range 6 {
		in := newInstance(c, "proofs", zoneNames[i%3], fmt.Sprintf("i-up%d", i), 4, work)
		in.handle = func(in *instance, conn net.Conn, r *http.Request, _ *bufio.Reader) bool {
			id := r.Header.Get("Request-Id")
			if !trouble || r.ContentLength < bodyBytes {
				return false
			}
			if !in.begin() {
				return false
			}
			in.note(r, true)
			from := time.Now()
			// It works first, and reads the body after that.
			time.Sleep(work)
			in.finish()
			n, err := io.Copy(io.Discard, r.Body)
			in.rec.add("instance %s has worked on %s and read %d bytes of its body: %v", in.id, id, n, err)
			mu.Lock()
			atWork[id] = span{from, time.Now()}
			mu.Unlock()
			in.respond(conn, 200, map[string]string{"Request-Id": id, name("stamp"): stampOf(in.id, id), name("load"): in.loadHeader()}, answerBody(id, bodyBytes))
			// The answer is read before the connection ends.
			time.Sleep(200 * time.Millisecond)
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
	stopped := c.entries[0]
	results := make([]result, uploads)
	var clients sync.WaitGroup
	for i := range results {
		clients.Go(func() {
			results[i] = attempt(rec, stopped, http.MethodPost, "/upload/2f", bytes.Repeat([]byte("x"), bodyBytes), 5*time.Second)
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	termAt := time.Now()
	rec.say("SIGTERM to %s", stopped.name)
	stopped.signal(syscall.SIGTERM)
	kill := time.AfterFunc(grace, stopped.kill)
	defer kill.Stop()
	clients.Wait()
	time.Sleep(3 * time.Second)
	broken := 0
	for _, r := range results {
		if r.err == nil && r.status == 200 && bytes.Equal(r.body, answerBody(r.id, bodyBytes)) {
			continue
		}
		mu.Lock()
		s, ran := atWork[r.id]
		mu.Unlock()
		rec.say("upload %s, sent %.2f s before SIGTERM: status %d, mark %q, %v; ran %v; the instance was done %.2f s after SIGTERM", r.id, termAt.Sub(r.sentAt).Seconds(), r.status, r.header.Get(name("stamp")), r.err, ran, s.to.Sub(termAt).Seconds())
		// Not counted: the instance was at work in the last sixth of the grace period.
		if ran && s.to.Before(termAt.Add(grace*5/6)) {
			broken++
		}
	}
	rec.say("%d uploads, %d broken off while their instances were at work", uploads, broken)
	return broken > 0, nil
}
