package forward

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
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
