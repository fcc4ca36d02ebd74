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
	"sync/atomic"
	"time"
)

func init() { cases["slow-upload"] = slowUpload }

// slowUpload shows that uploads which have been passed on in part are broken off and
// answered with 499 if their clients pause while others wait for another service.
func slowUpload(ctx context.Context, rec *record, trouble bool) (bool, error) {
	const (
		bodyBytes  = 4000000
		sentFirst  = 3000000
		pause      = 4 * time.Second
		uploads    = 12
		usual      = 10
		burstTimes = 1.7
		burstAfter = 1500 * time.Millisecond
		burstFor   = 3 * time.Second
	)
	c, err := newCluster(rec, 3, 1)
	if err != nil {
		return false, err
	}
	defer c.stop()
	if err := c.start(); err != nil {
		return false, err
	}
	if _, err := c.order(ctx, 0, http.MethodPost, name("replacePath"), stateOf(3,
		routeOf("r-look", "/look/", "safe", "booking", "2000ms", "600ms"), serviceOf("booking"),
		routeOf("r-upload", "/upload/", "upload", "proofs", "9000ms", "9000ms"), serviceOf("proofs"), limitsOf())); err != nil {
		return false, err
	}
	var mu sync.Mutex
	ran := map[string]time.Time{}
	var all []*instance
	for i := range 4 {
		service, work := "booking", 280*time.Millisecond
		if i >= 2 {
			service, work = "proofs", 50*time.Millisecond
		}
		in := newInstance(c, service, zoneNames[i%3], fmt.Sprintf("i-%s%d", service, i), 2, work)
		if service == "proofs" {
			in.slots = 8
		}
		if service == "proofs" {
			in.handle = func(in *instance, conn net.Conn, r *http.Request, _ *bufio.Reader) bool {
				// It begins to work with the first piece of the body.
				id := r.Header.Get("Request-Id")
				piece := make([]byte, 64<<10)
				if _, err := io.ReadFull(r.Body, piece); err != nil || !in.begin() {
					return false
				}
				in.note(r, true)
				mu.Lock()
				ran[id] = time.Now()
				mu.Unlock()
				n, err := io.Copy(io.Discard, r.Body)
				in.finish()
				in.rec.add("instance %s works on %s: has stored %d bytes, %v", in.id, id, n+int64(len(piece)), err)
				if err != nil {
					return true
				}
				in.respond(conn, 200, map[string]string{"Request-Id": id, name("stamp"): stampOf(in.id, id), name("load"): in.loadHeader()}, answerBody(id, bodyBytes))
				time.Sleep(100 * time.Millisecond)
				return true
			}
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

	// bursting is the beginning of the burst, 0 for none.
	var looks, bursting atomic.Int64
	stopClients := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for {
			perSecond := float64(usual)
			if since := time.Duration(bursting.Load()); since > 0 && time.Since(rec.begin) >= since && time.Since(rec.begin) < since+burstFor {
				perSecond *= burstTimes
			}
			select {
			case <-stopClients:
				return
			case <-ctx.Done():
				return
			case <-time.After(time.Duration(float64(time.Second) / perSecond)):
			}
			looks.Add(1)
			clients.Go(func() { attempt(rec, c.entries[0], http.MethodGet, "/look/2f", nil, 4*time.Second) })
		}
	})
	defer clients.Wait()
	defer sync.OnceFunc(func() { close(stopClients) })()
	time.Sleep(2 * time.Second)
	if trouble {
		bursting.Store(int64(time.Since(rec.begin) + burstAfter))
		rec.add("in %v, %v of %.1f times the usual traffic of the other service", burstAfter, burstFor, burstTimes)
	}
	denied := 0
	var uploading sync.WaitGroup
	for range uploads {
		uploading.Go(func() {
			id := newRequestID()
			rec.add("client sends %s POST /upload/2f to %s, and pauses for %v in its body", id, c.entries[0].name, pause)
			status, h, answer, err := pausedUpload(c.entries[0].ingress(), id, bodyBytes, sentFirst, pause)
			mu.Lock()
			defer mu.Unlock()
			_, began := ran[id]
			rec.add("client gets for %s: %d, mark %q, %d bytes, %v; an instance has begun to work on it: %v", id, status, h.Get(name("stamp")), len(answer), err, began)
			if status/100 == 3 || status/100 == 4 && status != 408 && status != 421 && status != 429 {
				denied++
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	uploading.Wait()
	requests := int(looks.Load()) + uploads
	allowed := 5 + requests/500
	rec.say("%d requests, %d of them uploads; %d ended with a 4xx of the system's own (%d are allowed)", requests, uploads, denied, allowed)
	return denied > allowed, nil
}

// pausedUpload sends a body with a pause in it and reads the answer.
func pausedUpload(address, id string, size, first int, pause time.Duration) (int, http.Header, []byte, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(12 * time.Second))
	head := fmt.Sprintf("POST /upload/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%s: 9000\r\nContent-Length: %d\r\n\r\n", hostName, id, name("deadline"), size)
	body := bytes.Repeat([]byte("x"), size)
	if _, err := c.Write(append([]byte(head), body[:first]...)); err != nil {
		return 0, nil, nil, err
	}
	time.Sleep(pause)
	go func() { _, _ = c.Write(body[first:]) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, nil, nil, err
	}
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, answer, err
}
