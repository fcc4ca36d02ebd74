package dispatchserver

import (
	"context"
	"io"
	"net/http"
	"time"

	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/dispatch"
	"balsamcourse.example/balsamcourse/internal/notice"
)

// maxProbeBody is the largest number of bytes of a probe's response body. A probe
// whose body is longer, or has no end, fails.
const maxProbeBody = 64 << 10

// updateProbePath sets the path of the cell's probes to the one configured in v.
func (s *Server) updateProbePath(c *cell, v *configview.View) {
	if svc := v.Service(c.key.Service); svc != nil {
		c.probePath = svc.ProbePath
	}
}

// startProbe probes an upstream in a goroutine of its own and posts the result to
// the cell.
func (s *Server) startProbe(c *cell, p dispatch.Probe) {
	key, url := c.key, "http://"+p.Address+c.probePath
	s.wg.Go(func() {
		started := time.Now()
		ok, said := s.probe(url, p.Timeout)
		s.post(message{key: key, event: dispatch.ProbeDone{ID: p.ID, OK: ok, Elapsed: time.Since(started), Notice: said}})
	})
}

// probe reports whether a GET of url succeeds within the timeout. Every complete
// response with a status below 500 is a success. It also returns what the upstream says of itself.
func (s *Server) probe(url string, timeout time.Duration) (ok bool, said notice.Notice) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, said
	}
	resp, err := s.opts.ProbeClient.Do(req)
	if err != nil {
		return false, said
	}
	defer resp.Body.Close()
	_, err = io.CopyN(io.Discard, resp.Body, maxProbeBody+1)
	return err == io.EOF && resp.StatusCode < http.StatusInternalServerError, notice.FromAnswer(resp.StatusCode, resp.Header, time.Now())
}
