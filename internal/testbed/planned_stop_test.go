package testbed

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stopCaller sends requests to one address until it can no longer connect. It keeps
// its connection for as long as the server does.
type stopCaller struct {
	address, head string
	rng           *rand.Rand
	pause         time.Duration
	answered, cut *atomic.Int64
	// firstCut describes the first request without an answer.
	firstCut *atomic.Value
}

func (c *stopCaller) run() {
	var conn net.Conn
	var reader *bufio.Reader
	for used := 0; ; used++ {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", c.address, time.Second); err != nil {
				return
			}
			reader, used = bufio.NewReader(conn), 0
		}
		resp, err := c.exchange(conn, reader)
		if err != nil {
			c.cut.Add(1)
			c.firstCut.CompareAndSwap(nil, fmt.Sprintf("request %d of its connection: %v", used+1, err))
		} else {
			c.answered.Add(1)
		}
		if err != nil || resp.Close {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(time.Duration(c.rng.Int64N(int64(2 * c.pause))))
		if err == nil && resp.StatusCode == http.StatusServiceUnavailable {
			seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			time.Sleep(time.Duration(seconds * float64(time.Second)))
		}
	}
}

func (c *stopCaller) exchange(conn net.Conn, reader *bufio.Reader) (*http.Response, error) {
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(conn, c.head); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// stopUnderLoad stops the process while callers send requests to the address all the
// time, on connections that they keep, and returns how many got an answer and how
// many none.
func stopUnderLoad(t *testing.T, p *process, address, head string) (answered, cut int64) {
	t.Helper()
	const callers = 32
	var calls sync.WaitGroup
	var answers, cuts atomic.Int64
	var firstCut atomic.Value
	for i := range callers {
		c := &stopCaller{
			address: address, head: head, rng: rand.New(rand.NewPCG(uint64(i), 0)), pause: 2 * time.Millisecond,
			answered: &answers, cut: &cuts, firstCut: &firstCut,
		}
		calls.Go(c.run)
	}
	time.Sleep(300 * time.Millisecond)
	assert.NilError(t, p.stop())
	calls.Wait()
	if why := firstCut.Load(); why != nil {
		t.Logf("cut first: %s", why)
	}
	return answers.Load(), cuts.Load()
}

// TestPlannedStopOfGatewayAnswersEveryRequest guards against requests that are cut off
// without an answer as a gateway stops: those in flight, those on connections that
// have just been opened, and those on connections that callers go on using. Callers
// do not heed look-ups here, so that the load lasts until the gateway is gone.
func TestPlannedStopOfGatewayAnswersEveryRequest(t *testing.T) {
	s := newGatewaySystem(t, 1, "serve_ms = 500\nstop_ms = 3000\n")
	s.addGateway()
	s.startRecordingUpstreams(4, func(*http.Request) upstreamAnswer { return answerOK })
	head := fmt.Sprintf("GET /safe/x HTTP/1.1\r\nHost: %s\r\nBalsam-Request-Id: r1\r\nBalsam-Timeout-Ms: 1000\r\n\r\n", gatewayHost)
	for range 4 {
		s.awaitGateway(0)
		s.awaitRegistered(1)
		answered, cut := stopUnderLoad(t, s.entries[0], s.callers[0], head)
		t.Logf("answered %d, cut off %d", answered, cut)
		assert.Check(t, answered > 100)
		assert.Check(t, cut == 0, "%d requests were cut off without an answer", cut)
		s.entries[0].start()
	}
}

// TestPlannedStopOfEntryVMAnswersEveryRequest is the same for an entry VM.
func TestPlannedStopOfEntryVMAnswersEveryRequest(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.configureBooking()
	c.startUpstreams(4)
	c.awaitServing("call")
	head := fmt.Sprintf("GET /booking/dates HTTP/1.1\r\nHost: %s\r\nBalsam-Timeout-Ms: 1000\r\n\r\n", c.callers[0])
	for range 4 {
		answered, cut := stopUnderLoad(t, c.entries[0], c.callers[0], head)
		t.Logf("answered %d, cut off %d", answered, cut)
		assert.Check(t, answered > 100)
		assert.Check(t, cut == 0, "%d requests were cut off without an answer", cut)
		c.entries[0].start()
		waitFor(t, "call after a restart", func() string { return c.servingProblem(0) })
	}
}
