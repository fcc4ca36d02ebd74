package forward

import (
	"crypto/sha256"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/quarantine"
)

func TestEndToEndHeadersDropsHopByHopHeaders(t *testing.T) {
	src := http.Header{
		"Connection":        {"keep-alive, X-Hop", " x-other "},
		"X-Hop":             {"1"},
		"X-Other":           {"1"},
		"Keep-Alive":        {"timeout=5"},
		"Te":                {"trailers"},
		"Transfer-Encoding": {"chunked"},
		"Upgrade":           {"websocket"},
		"Cookie":            {"a=1", "b=2"},
		"X-Kept":            {""},
	}
	want := http.Header{"Cookie": {"a=1", "b=2"}, "X-Kept": {""}}
	before := src.Clone()
	assert.DeepEqual(t, EndToEndHeaders(src), want)
	assert.DeepEqual(t, src, before)
}

// Requests that differ in their query must share a fingerprint, and those with other
// paths or bodies none.
func TestSignaturesOfVariants(t *testing.T) {
	sign := func(target, body string) quarantine.Signature {
		return sign("booking", httptest.NewRequest(http.MethodPost, target, nil), sha256.Sum256([]byte(body)))
	}
	a, b := sign("/list?n=1", "x"), sign("/list?n=2", "x")
	assert.Assert(t, a.Exact != b.Exact)
	assert.DeepEqual(t, a.General, b.General)
	for _, other := range []quarantine.Signature{sign("/other?n=1", "x"), sign("/list?n=1", "y")} {
		assert.Assert(t, a.Exact != other.Exact && a.General[0] != other.General[0])
	}
}
