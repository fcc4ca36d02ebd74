package dispatcher

import (
	"context"
	"io"
	"net/http"
	"time"

	"balsamcourse.example/balsamcourse/internal/dispatch"
	"balsamcourse.example/balsamcourse/internal/view"
)

// maxProbeBody bounds what is read of the answer to a probe.
const maxProbeBody = 64 << 10

// setProbing notes the path that probes of the cell request.
func (s *Server) setProbing(c *cell, v *view.View) {
	if svc := v.Service(c.key.Service); svc != nil {
		c.probing = svc.ProbePath
	}
}

// startProbe requests the probe path of an upstream and reports the end.
func (s *Server) startProbe(c *cell, p dispatch.Probe) {
	key, url := c.key, "http://"+p.Address+c.probing
	s.wg.Go(func() {
		begun := time.Now()
		ok := s.probe(url, p.Timeout)
		s.post(message{key: key, event: dispatch.ProbeDone{ID: p.ID, OK: ok, Elapsed: time.Since(begun)}})
	})
}

func (s *Server) probe(url string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := s.opts.ProbeClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxProbeBody))
	return err == nil && resp.StatusCode < http.StatusInternalServerError
}
