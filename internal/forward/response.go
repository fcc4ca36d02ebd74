package forward

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/statechart"
)

// maxBufferedResponseBytes is the size up to which a response is read
// completely before its first byte is sent to the caller.
const maxBufferedResponseBytes = 256 << 10

// maxDrainBytes bounds what is read of the body of a response that is not
// passed on. A short body is drained so that the connection can be reused.
const maxDrainBytes = 4 << 10

// drainTimeout bounds the time for that, during which the request is not yet sent
// to another upstream.
const drainTimeout = 20 * time.Millisecond

// headerReplayed marks a response that was kept from an earlier request with
// the same Idempotency-Key.
const headerReplayed = "Balsam-Replayed"

// upstreamResponse is an upstream's response on its way to the caller.
type upstreamResponse struct {
	resp *http.Response
	// buffered is the start of the body, or all of it if complete is set.
	buffered []byte
	complete bool
	attempt  *attempt
}

// emptyBody is an empty request body that net/http does not recognise as
// such, unlike http.NoBody.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }

func lowerCase(s string) string { return strings.ToLower(s) }

// drainAndClose reads and closes the body of a response that is not passed on. It
// closes the connection if the body does not end soon.
func drainAndClose(body io.ReadCloser) {
	timer := time.AfterFunc(drainTimeout, func() { _ = body.Close() })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
	_ = body.Close()
}

// receive handles the header of a response. It reads a small response
// completely before it is passed on, so that a truncated one can still be
// refused and the slot does not stay occupied while a slow caller reads.
func (c *call) receive(a *attempt, resp *http.Response) statechart.Event {
	if err := checkResponseHead(resp); err != nil {
		return c.handleBrokenResponse(a, resp, err)
	}
	if closeDelimited(resp) {
		return c.handleBrokenResponse(a, resp, fault.New(fault.UpstreamBroken, "upstream %s: response has neither Content-Length nor chunked encoding", c.grant.Upstream))
	}
	response := &upstreamResponse{resp: resp, attempt: a}
	if c.buffersResponse(resp) {
		buffered, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedResponseBytes+1))
		if err != nil {
			return c.handleBrokenResponse(a, resp, fault.New(fault.UpstreamBroken, "upstream %s: reading response: %v", c.grant.Upstream, err))
		}
		response.buffered = buffered
		response.complete = len(buffered) <= maxBufferedResponseBytes
	}
	if !response.complete && resp.ContentLength < 0 && !c.r.ProtoAtLeast(1, 1) {
		return c.handleBrokenResponse(a, resp, fault.New(fault.UpstreamBroken, "upstream %s: the response has no stated length and is too large to be buffered for a caller that speaks HTTP/1.0", c.grant.Upstream))
	}
	if response.complete {
		c.finishResponse(response)
	}
	c.response = response
	return "answered"
}

// buffersResponse reports whether the response is read before it is passed
// on. A response of unknown length is streamed, unless the call holds a claim and
// the response may have to be kept, or the caller speaks HTTP/1.0 and could take a
// part of the response for all of it.
func (c *call) buffersResponse(resp *http.Response) bool {
	if c.claim != nil || resp.ContentLength < 0 && !c.r.ProtoAtLeast(1, 1) {
		return true
	}
	return resp.ContentLength >= 0 && resp.ContentLength <= maxBufferedResponseBytes
}

// closeDelimited reports whether the end of the response is marked only by
// the end of the connection. A truncated response could then not be told
// from a complete one.
func closeDelimited(resp *http.Response) bool {
	if resp.Request != nil && resp.Request.Method == http.MethodHead {
		return false
	}
	if resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return false
	}
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

func (c *call) handleBrokenResponse(a *attempt, resp *http.Response, err *fault.Error) statechart.Event {
	_ = resp.Body.Close()
	return c.handleBroken(a, err)
}

// finishResponse releases the slot of a completely read response and keeps
// it for resends if the call holds a claim.
func (c *call) finishResponse(response *upstreamResponse) {
	_ = response.resp.Body.Close()
	c.releaseAfterResponse(response)
	if c.claim != nil {
		c.claim.Finish(newKeptAnswer(response, c.f.opts.MaxKeptBytes))
		c.claim = nil
	}
}

// releaseAfterResponse releases the slot. A response other than 5xx also
// adds to the retry budget and to the mean latency.
func (c *call) releaseAfterResponse(response *upstreamResponse) {
	outcome := clusterpb.Outcome_OUTCOME_OK
	if response.resp.StatusCode >= http.StatusInternalServerError {
		outcome = clusterpb.Outcome_OUTCOME_FAILED
		c.abandonTimeout(response)
	} else {
		c.f.retryBudgets.deposit(c.service)
		c.f.latencies.record(c.service.Name, time.Since(response.attempt.started))
	}
	c.releaseSlot(outcome, time.Since(response.attempt.started), response.attempt.newConn.Load())
}

// abandonTimeout keeps an upstream's timeout from clearing the suspicion against the
// request: the upstream may have given up before the request could end it.
func (c *call) abandonTimeout(response *upstreamResponse) {
	if response.resp.StatusCode == http.StatusGatewayTimeout && c.reporter != nil {
		c.reporter.Abandoned()
		c.reporter = nil
	}
}

// newKeptAnswer returns the response in its stored form. It omits headers and
// body and sets Truncated if the response was not buffered completely or its
// body is longer than limit bytes.
func newKeptAnswer(response *upstreamResponse, limit int) *clusterpb.KeptAnswer {
	kept := &clusterpb.KeptAnswer{Status: uint32(response.resp.StatusCode)}
	if !response.complete || len(response.buffered) > limit {
		kept.Truncated = true
		return kept
	}
	kept.Body = response.buffered
	for name, values := range EndToEndHeaders(response.resp.Header) {
		for _, v := range values {
			kept.Headers = append(kept.Headers, &clusterpb.Header{Name: name, Value: v})
		}
	}
	return kept
}

// deliver sends the response to the caller.
func (c *call) deliver() statechart.Event {
	response := c.response
	c.err = nil
	c.f.opts.Metrics.CountCall("")
	writeResponseHeader(c.w, response.resp)
	if response.complete {
		_, _ = c.w.Write(response.buffered)
		c.copyTrailer(response.resp)
		return ""
	}
	c.streamResponse(response)
	return ""
}

// writeResponseHeader sends the status and header of the response. It first
// removes headers that an interim response may have left in w.
func writeResponseHeader(w http.ResponseWriter, resp *http.Response) {
	h := w.Header()
	for name := range h {
		delete(h, name)
	}
	for name, values := range EndToEndHeaders(resp.Header) {
		h[name] = values
	}
	for name := range resp.Trailer {
		h.Add("Trailer", name)
	}
	w.WriteHeader(resp.StatusCode)
}

// streamResponse copies a large response, or one of unknown length, as it
// arrives.
func (c *call) streamResponse(response *upstreamResponse) {
	caller := &flushWriter{w: c.w, drainAfterDisconnect: c.claim != nil}
	_, err := io.Copy(caller, io.MultiReader(bytes.NewReader(response.buffered), response.resp.Body))
	_ = response.resp.Body.Close()
	if err == nil {
		c.releaseAfterResponse(response)
		if c.claim != nil {
			c.claim.Finish(newKeptAnswer(response, c.f.opts.MaxKeptBytes))
			c.claim = nil
		}
		c.copyTrailer(response.resp)
		return
	}
	c.abortStream(response)
}

// abortStream handles a response that broke off. It aborts the connection to
// the caller, who could otherwise take the part for the complete response.
func (c *call) abortStream(response *upstreamResponse) {
	took := time.Since(response.attempt.started)
	outcome := clusterpb.Outcome_OUTCOME_BROKEN
	if c.ctx.Err() != nil || c.r.Context().Err() != nil {
		outcome = clusterpb.Outcome_OUTCOME_CANCELLED
	}
	c.releaseSlot(outcome, took, response.attempt.newConn.Load())
	if c.claim != nil {
		c.claim.MarkUnknown()
		c.claim = nil
	}
	c.err = fault.New(fault.UpstreamBroken, "upstream %s: response truncated", c.grant.Upstream)
	c.f.opts.Metrics.CountCall(fault.UpstreamBroken)
	panic(http.ErrAbortHandler)
}

func (c *call) copyTrailer(resp *http.Response) {
	for name, values := range resp.Trailer {
		c.w.Header()[name] = values
	}
}

// flushWriter flushes each part of a streamed response as it is written.
type flushWriter struct {
	w http.ResponseWriter
	// drainAfterDisconnect makes writes succeed after the caller has
	// disconnected, so that the response is read to its end and kept.
	drainAfterDisconnect bool
	disconnected         bool
}

// Write implements io.Writer.
func (f *flushWriter) Write(b []byte) (int, error) {
	if f.disconnected {
		return len(b), nil
	}
	n, err := f.w.Write(b)
	if err == nil {
		err = http.NewResponseController(f.w).Flush()
	}
	if err != nil && f.drainAfterDisconnect {
		f.disconnected = true
		return len(b), nil
	}
	return n, err
}

// refuse releases the claim and sends the refusal.
func (c *call) refuse() statechart.Event {
	c.releaseClaim()
	c.f.refuse(c.w, c.refusalBeforeClaim(c.err))
	return ""
}

// refuseOutcomeUnknown sends the refusal for a request that may have run.
func (c *call) refuseOutcomeUnknown() statechart.Event {
	c.f.refuse(c.w, c.err)
	return ""
}

// replayKeptAnswer answers a resend with the kept response of the first run.
func (c *call) replayKeptAnswer() statechart.Event {
	if c.keptAnswer.Truncated {
		c.err = fault.New(fault.AlreadyRan, "the response had status %d", c.keptAnswer.Status)
		c.f.refuse(c.w, c.err)
		return ""
	}
	h := c.w.Header()
	for _, field := range c.keptAnswer.Headers {
		h.Add(field.Name, field.Value)
	}
	h.Set(headerReplayed, "true")
	c.w.WriteHeader(int(c.keptAnswer.Status))
	_, _ = c.w.Write(c.keptAnswer.Body)
	return ""
}
