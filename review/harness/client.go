package main

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// result is the answer to one client attempt.
type result struct {
	id      string
	machine string
	sentAt  time.Time
	status  int
	header  http.Header
	body    []byte
	err     error
}

// newRequestID returns an id that no other client attempt has.
func newRequestID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// attempt sends one client attempt on a new connection to the machine and reads its
// answer.
func attempt(rec *record, m *machine, method, path string, body []byte, deadline time.Duration) result {
	res := result{id: newRequestID(), machine: m.name, sentAt: time.Now()}
	res.status, res.header, res.body, res.err = exchange(m.ingress(), method, path, res.id, body, deadline)
	rec.addAt(res.sentAt, "client sends %s %s %s to %s", res.id, method, path, m.name)
	rec.add("client gets for %s: %d, body %d bytes, %v", res.id, res.status, len(res.body), res.err)
	return res
}

func exchange(address, method, path, id string, body []byte, deadline time.Duration) (int, http.Header, []byte, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%s: %d\r\n", method, path, hostName, id, name("deadline"), deadline.Milliseconds())
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	if _, err := c.Write(b.Bytes()); err != nil {
		return 0, nil, nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return 0, nil, nil, err
	}
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, answer, err
}

// sentTimes holds when client attempts were sent, by request id.
type sentTimes struct {
	mu sync.Mutex
	at map[string]time.Time
}

func newSentTimes() *sentTimes { return &sentTimes{at: map[string]time.Time{}} }

func (s *sentTimes) add(r result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[r.id] = r.sentAt
}

func (s *sentTimes) of(id string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.at[id]
	return t, ok
}
