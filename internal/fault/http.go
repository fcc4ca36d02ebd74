package fault

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Headers of a refusal.
const (
	HeaderKind       = "Balsam-Fault"
	HeaderRun        = "Balsam-Run"
	HeaderRetryAfter = "Retry-After"
	// HeaderRetryAfterMs states the same time as Retry-After in milliseconds.
	HeaderRetryAfterMs = "Balsam-Retry-After-Ms"
)

// Body is the JSON body of a refusal.
type Body struct {
	Kind         Kind      `json:"kind"`
	Run          RunStatus `json:"run"`
	RetryAfterMs int64     `json:"retry_after_ms,omitempty"`
	Text         string    `json:"text"`
	Detail       string    `json:"detail,omitempty"`
}

// WriteHTTP answers a request with err. The answer carries the kind, whether
// the request ran, and when a new attempt makes sense.
func WriteHTTP(w http.ResponseWriter, err error) {
	write(w, err, func(d time.Duration) string { return strconv.FormatInt(wholeSeconds(d), 10) })
}

// WriteHTTPFractional is WriteHTTP for callers that take fractions of a second in
// Retry-After.
func WriteHTTPFractional(w http.ResponseWriter, err error) {
	write(w, err, func(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) })
}

func write(w http.ResponseWriter, err error, seconds func(time.Duration) string) {
	e := FromError(err)
	a := e.Response()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderKind, string(e.Kind))
	h.Set(HeaderRun, string(a.Run))
	if a.RetryAfter > 0 {
		h.Set(HeaderRetryAfter, seconds(a.RetryAfter))
		h.Set(HeaderRetryAfterMs, strconv.FormatInt(a.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(a.Status)
	_ = json.NewEncoder(w).Encode(Body{
		Kind:         e.Kind,
		Run:          a.Run,
		RetryAfterMs: a.RetryAfter.Milliseconds(),
		Text:         a.Text,
		Detail:       e.Detail,
	})
}

// wholeSeconds rounds up, as Retry-After has a resolution of one second.
func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
