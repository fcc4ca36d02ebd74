package forward

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/chart"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// wholeAnswerBytes bounds the answers that are read to their end before the
// first byte goes to the caller.
const wholeAnswerBytes = 256 << 10

// drainBytes bounds what is read of an answer that is not passed on.
const drainBytes = 4 << 10

// headerReplayed marks an answer that was kept from the first run.
const headerReplayed = "Balsam-Replayed"

// answer is an upstream's answer on its way to the caller.
type answer struct {
	resp    *http.Response
	head    []byte
	whole   bool
	attempt *attempt
}

// emptyBody is a body without bytes that net/http does not know as empty.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }

func lowerCase(s string) string { return strings.ToLower(s) }

func drainAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, drainBytes)
	_ = body.Close()
}

// receive reads the answer: to its end when it is small, so that a broken one
// can still be refused and the slot is free before a slow caller has read it.
func (c *call) receive(a *attempt, resp *http.Response) chart.Event {
	if closeDelimited(resp) {
		return c.answerBroken(a, resp, fault.New(fault.UpstreamBroken, "%s: answer without a length", c.grant.Upstream))
	}
	ans := &answer{resp: resp, attempt: a}
	if c.readsWhole(resp) {
		head, err := io.ReadAll(io.LimitReader(resp.Body, wholeAnswerBytes+1))
		if err != nil {
			return c.answerBroken(a, resp, fault.New(fault.UpstreamBroken, "%s: %v", c.grant.Upstream, err))
		}
		ans.head = head
		ans.whole = len(head) <= wholeAnswerBytes
	}
	if ans.whole {
		c.finish(ans)
	}
	c.answer = ans
	return "answered"
}

// readsWhole reports whether the answer is read before it is passed on. An
// answer of unknown length is passed on as it comes, unless it may have to be
// kept.
func (c *call) readsWhole(resp *http.Response) bool {
	if c.claim != nil {
		return true
	}
	return resp.ContentLength >= 0 && resp.ContentLength <= wholeAnswerBytes
}

// closeDelimited reports whether only the end of the connection ends the
// answer: a short one could not be told from a whole one.
func closeDelimited(resp *http.Response) bool {
	if resp.Request != nil && resp.Request.Method == http.MethodHead {
		return false
	}
	if resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return false
	}
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

func (c *call) answerBroken(a *attempt, resp *http.Response, err *fault.Error) chart.Event {
	_ = resp.Body.Close()
	return c.broken(a, err)
}

// finish frees the slot and keeps the answer. The answer has been read whole.
func (c *call) finish(ans *answer) {
	_ = ans.resp.Body.Close()
	c.releaseAnswered(ans)
	if c.claim != nil {
		c.claim.Finish(keptAnswer(ans, c.f.opts.MaxKeptBytes))
		c.claim = nil
	}
}

func (c *call) releaseAnswered(ans *answer) {
	outcome := clusterpb.Outcome_OUTCOME_OK
	if ans.resp.StatusCode >= http.StatusInternalServerError {
		outcome = clusterpb.Outcome_OUTCOME_FAILED
	} else {
		c.f.retries.earn(c.service)
		c.f.paces.add(c.service.Name, time.Since(ans.attempt.started))
	}
	c.release(outcome, time.Since(ans.attempt.started), ans.attempt.newConn.Load())
}

func keptAnswer(ans *answer, limit int) *clusterpb.KeptAnswer {
	kept := &clusterpb.KeptAnswer{Status: uint32(ans.resp.StatusCode)}
	if !ans.whole || len(ans.head) > limit {
		kept.Truncated = true
		return kept
	}
	kept.Body = ans.head
	for name, values := range EndToEndHeaders(ans.resp.Header) {
		for _, v := range values {
			kept.Headers = append(kept.Headers, &clusterpb.Header{Name: name, Value: v})
		}
	}
	return kept
}

// deliver passes the answer on to the caller.
func (c *call) deliver() chart.Event {
	ans := c.answer
	c.err = nil
	c.f.opts.Metrics.Answer("")
	writeHead(c.w, ans.resp)
	if ans.whole {
		_, _ = c.w.Write(ans.head)
		c.copyTrailer(ans.resp)
		return ""
	}
	c.stream(ans)
	return ""
}

func writeHead(w http.ResponseWriter, resp *http.Response) {
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

// stream copies a large or unbounded answer. When it breaks, the connection to
// the caller is aborted, so that the part cannot pass for the whole.
func (c *call) stream(ans *answer) {
	caller := &flushWriter{w: c.w, goOn: c.claim != nil}
	_, err := io.Copy(caller, io.MultiReader(bytes.NewReader(ans.head), ans.resp.Body))
	_ = ans.resp.Body.Close()
	if err == nil {
		c.releaseAnswered(ans)
		if c.claim != nil {
			c.claim.Finish(keptAnswer(ans, c.f.opts.MaxKeptBytes))
			c.claim = nil
		}
		c.copyTrailer(ans.resp)
		return
	}
	c.streamBroken(ans)
}

func (c *call) streamBroken(ans *answer) {
	took := time.Since(ans.attempt.started)
	outcome := clusterpb.Outcome_OUTCOME_BROKEN
	if c.ctx.Err() != nil || c.r.Context().Err() != nil {
		outcome = clusterpb.Outcome_OUTCOME_CANCELLED
	}
	c.release(outcome, took, ans.attempt.newConn.Load())
	if c.claim != nil {
		c.claim.MarkUnknown()
		c.claim = nil
	}
	c.err = fault.New(fault.UpstreamBroken, "%s: answer cut off", c.grant.Upstream)
	c.f.opts.Metrics.Answer(fault.UpstreamBroken)
	panic(http.ErrAbortHandler)
}

func (c *call) copyTrailer(resp *http.Response) {
	for name, values := range resp.Trailer {
		c.w.Header()[name] = values
	}
}

// flushWriter passes each part of a streamed answer on at once.
type flushWriter struct {
	w http.ResponseWriter
	// goOn lets the answer be read to its end after the caller went away.
	goOn bool
	gone bool
}

// Write implements io.Writer.
func (f *flushWriter) Write(b []byte) (int, error) {
	if f.gone {
		return len(b), nil
	}
	n, err := f.w.Write(b)
	if err == nil {
		err = http.NewResponseController(f.w).Flush()
	}
	if err != nil && f.goOn {
		f.gone = true
		return len(b), nil
	}
	return n, err
}

// refuse answers that the request was given up on.
func (c *call) refuse() chart.Event {
	c.endClaim()
	c.f.refuse(c.w, c.undecided(c.err))
	return ""
}

// answerUnknown answers that the request may have run.
func (c *call) answerUnknown() chart.Event {
	c.f.refuse(c.w, c.err)
	return ""
}

// answerKept answers a resend with the answer of the first run.
func (c *call) answerKept() chart.Event {
	if c.kept.Truncated {
		c.err = fault.New(fault.AlreadyRan, "status %d", c.kept.Status)
		c.f.refuse(c.w, c.err)
		return ""
	}
	h := c.w.Header()
	for _, field := range c.kept.Headers {
		h.Add(field.Name, field.Value)
	}
	h.Set(headerReplayed, "true")
	c.w.WriteHeader(int(c.kept.Status))
	_, _ = c.w.Write(c.kept.Body)
	return ""
}
