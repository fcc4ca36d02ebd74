package fault

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Headers of an error response.
const (
	HeaderKind       = "Balsam-Fault"
	HeaderRun        = "Balsam-Run"
	HeaderRetryAfter = "Retry-After"
	// HeaderRetryAfterMs gives the time to wait before a retry in milliseconds.
	// Retry-After itself is usually rounded up to whole seconds.
	HeaderRetryAfterMs = "Balsam-Retry-After-Ms"
)

// Body is the JSON body of an error response. Text describes the kind, Detail this
// occurrence.
type Body struct {
	Kind         Kind      `json:"kind"`
	Run          RunStatus `json:"run"`
	RetryAfterMs int64     `json:"retry_after_ms,omitempty"`
	Text         string    `json:"text"`
	Detail       string    `json:"detail,omitempty"`
}

// WriteHTTP writes the error response for err. Its headers and JSON body carry the
// kind, whether the request ran, and the time to wait before a retry.
func WriteHTTP(w http.ResponseWriter, err error) {
	write(w, err, func(d time.Duration) string { return strconv.FormatInt(wholeSeconds(d), 10) })
}

// WriteHTTPFractional is like WriteHTTP, but gives Retry-After in seconds with
// three decimals, for callers that accept fractions.
func WriteHTTPFractional(w http.ResponseWriter, err error) {
	write(w, err, func(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) })
}

func write(w http.ResponseWriter, err error, seconds func(time.Duration) string) {
	e := FromError(err)
	resp := e.Response()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderKind, string(e.Kind))
	h.Set(HeaderRun, string(resp.Run))
	if resp.RetryAfter > 0 {
		h.Set(HeaderRetryAfter, seconds(resp.RetryAfter))
		h.Set(HeaderRetryAfterMs, strconv.FormatInt(resp.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(resp.Status)
	_ = json.NewEncoder(w).Encode(Body{
		Kind:         e.Kind,
		Run:          resp.Run,
		RetryAfterMs: resp.RetryAfter.Milliseconds(),
		Text:         resp.Text,
		Detail:       e.Detail,
	})
}

// wholeSeconds rounds d up to seconds, the resolution of Retry-After.
func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
