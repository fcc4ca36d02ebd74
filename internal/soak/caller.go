package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"balsamcourse.example/balsamcourse/internal/gateway"
	"balsamcourse.example/balsamcourse/internal/wait"
)

const (
	// callPause is the mean pause of a caller between two calls.
	callPause = 25 * time.Millisecond
	// callerPatience is the time after which a caller gives an answer up, longer than
	// routeTimeout.
	callerPatience = 5 * time.Second
	connectTimeout = time.Second
	// failurePause is the pause after a call without an answer.
	failurePause = 20 * time.Millisecond
	// maxRefusalPause bounds the time for which a caller heeds a Retry-After.
	maxRefusalPause = 500 * time.Millisecond
)

// caller sends requests to gateways, on connections that it uses for as long as they
// last. It never sends a request a second time.
type caller struct {
	index     int
	rng       *rand.Rand
	addresses []string
	headers   gateway.Headers
	history   *history
	conns     map[int]*callerConn
	// pause is the mean pause between two calls.
	pause time.Duration
	// only is the gateway that it calls; nil means any.
	only *int
}

type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

func (c *caller) run(ctx context.Context) {
	defer c.close()
	for n := 0; ctx.Err() == nil; n++ {
		result, pause := c.call(c.name(n))
		c.history.addCall(result)
		wait.For(ctx, min(pause, maxRefusalPause)+time.Duration(c.rng.ExpFloat64()*float64(c.pause)))
	}
}

// drawRoute draws the route of the next request.
func (c *caller) drawRoute() route {
	switch n := c.rng.IntN(10); {
	case n < 4:
		return safeRoute
	case n < 7:
		return payRoute
	case n < 8:
		return uploadRoute
	default:
		return movingRoute
	}
}

// call makes one call at a random gateway, and returns the time after which the caller
// may come again.
func (c *caller) call(id string) (call, time.Duration) {
	at := c.rng.IntN(len(c.addresses))
	if c.only != nil {
		at = *c.only
	}
	return c.callAt(id, c.drawRoute(), at)
}

func (c *caller) callAt(id string, r route, at int) (call, time.Duration) {
	result := call{id: id, route: r, gateway: at, sent: c.history.now()}
	first := c.conns[at] == nil
	resp, body, err := c.exchange(&result)
	result.ended = c.history.now()
	if err != nil {
		result.why, result.cutOnFirst = err.Error(), first && isEOF(err)
		if conn := c.conns[at]; conn != nil {
			_ = conn.Close()
			delete(c.conns, at)
		}
		return result, failurePause
	}
	result.answered, result.status = true, resp.StatusCode
	switch resp.StatusCode {
	case http.StatusOK:
		result.pool, _, result.wrong = readBody(id, body)
		if result.wrong == "" && resp.Header.Get(c.headers.ServedBy) == "" {
			result.wrong = "a success without the mark of an upstream"
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		result.notRun = true
	}
	if resp.Close {
		_ = c.conns[at].Close()
		delete(c.conns, at)
	}
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		seconds = 0
	}
	return result, time.Duration(seconds * float64(time.Second))
}

// exchange sends the request and reads the answer.
func (c *caller) exchange(call *call) (*http.Response, string, error) {
	conn := c.conns[call.gateway]
	if conn == nil {
		raw, err := net.DialTimeout("tcp", c.addresses[call.gateway], connectTimeout)
		if err != nil {
			return nil, "", errors.Trace(err)
		}
		conn = &callerConn{raw, bufio.NewReader(raw)}
		c.conns[call.gateway] = conn
	}
	if err := conn.SetDeadline(time.Now().Add(callerPatience)); err != nil {
		return nil, "", errors.Trace(err)
	}
	if _, err := io.WriteString(conn, c.requestText(call)); err != nil {
		return nil, "", errors.Trace(err)
	}
	resp, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return nil, "", errors.Trace(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, "", errors.Annotatef(err, "after the head with status %d", resp.StatusCode)
	}
	return resp, string(body), nil
}

func (c *caller) requestText(call *call) string {
	h, path := c.headers, call.route.prefix()+call.id
	common := fmt.Sprintf("Host: %s\r\n%s: %s\r\n%s: %d\r\n", host, h.RequestID, call.id, h.Deadline, routeTimeout.Milliseconds())
	if call.route.safe() {
		if call.route == crashRoute {
			path = call.route.prefix() + "same"
		}
		return fmt.Sprintf("GET %s HTTP/1.1\r\n%s\r\n", path, common)
	}
	body := bodyOf(call.id, "", "-")
	if randomOf(call.id).IntN(2) == 0 {
		return fmt.Sprintf("POST %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", path, common, len(body), body)
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", path, common, len(body), body)
}

// isEOF reports whether the error is an orderly end of a connection.
func isEOF(err error) bool { return errors.Is(err, io.EOF) || strings.Contains(err.Error(), "EOF") }

// name returns the ID of the caller's n-th request.
func (c *caller) name(n int) string { return fmt.Sprintf("c%d-%d", c.index, n) }

// close closes the connections of the caller.
func (c *caller) close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}
