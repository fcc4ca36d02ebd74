package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLateCopyOfAnswerIsNotTakenForTheNext guards against a caller that gets the answer
// to another request: the upstream sends it a second time, late, on a connection that
// is in use again. Callers with and without IDs take turns.
func TestLateCopyOfAnswerIsNotTakenForTheNext(t *testing.T) {
	for name, frame := range map[string]string{
		"with a length":           "HTTP/1.1 200 OK\r\nBalsam-Request-Id: %[1]s\r\n%[2]sContent-Length: %[3]d\r\n\r\n%[4]s",
		"chunked":                 "HTTP/1.1 200 OK\r\nBalsam-Request-Id: %[1]s\r\n%[2]sTransfer-Encoding: chunked\r\n\r\n%[3]x\r\n%[4]s\r\n0\r\n\r\n",
		"after an interim answer": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nBalsam-Request-Id: %[1]s\r\n%[2]sContent-Length: %[3]d\r\n\r\n%[4]s",
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+" "+method, func(t *testing.T) {
				var mu sync.Mutex
				last := make(map[io.Writer]string)
				s := startFakeUpstream(t, "u1", func(w io.Writer, r *http.Request) bool {
					answer := fmt.Sprintf(frame, r.Header.Get("Balsam-Request-Id"), servedByHeader, len(r.URL.Path), r.URL.Path)
					mu.Lock()
					defer mu.Unlock()
					_, _ = io.WriteString(w, last[w]+answer)
					last[w] = answer
					return true
				})
				fx := startForwarder(t, newConfig(s))
				for i := range 12 {
					path := fmt.Sprint("/safe/", i)
					r, err := http.NewRequest(method, fx.server.URL+path, nil)
					assert.NilError(t, err)
					r.Host = "host.example"
					if i%3 != 0 {
						r.Header.Set("Balsam-Request-Id", fmt.Sprint("r", i))
					}
					resp, err := http.DefaultClient.Do(r)
					assert.NilError(t, err)
					body, err := io.ReadAll(resp.Body)
					assert.NilError(t, err)
					_ = resp.Body.Close()
					if resp.StatusCode == http.StatusOK {
						assert.Equal(t, string(body), path)
					}
				}
			})
		}
	}
}
