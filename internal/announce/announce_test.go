package announce

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

const valid = `{"service":"booking","zone":"a","address":"10.0.0.1:80","slots":2,"incarnation":7,"state":"cold"}`

// recordingSink keeps all announcements in order.
type recordingSink []*clusterpb.Announcement

func (s *recordingSink) Announce(a *clusterpb.Announcement) { *s = append(*s, a) }

func TestHandlerPassesOnOnlyValidAnnouncements(t *testing.T) {
	cases := []struct {
		name, body string
		ok         bool
	}{
		{"valid", valid, true},
		{"draining", strings.Replace(valid, "cold", "draining", 1), true},
		{"unknown key", strings.Replace(valid, "slots", "slotz", 1), false},
		{"unknown state", strings.Replace(valid, "cold", "tired", 1), false},
		{"host name", strings.Replace(valid, "10.0.0.1", "vm1", 1), false},
		{"bad port", strings.Replace(valid, ":80", ":abc", 1), false},
		{"port 0", strings.Replace(valid, ":80", ":0", 1), false},
		{"no port", strings.Replace(valid, ":80", "", 1), false},
		{"no service", strings.Replace(valid, "booking", "", 1), false},
		{"negative slots", strings.Replace(valid, `"slots":2`, `"slots":-2`, 1), false},
		{"too many slots", strings.Replace(valid, `"slots":2`, `"slots":70000`, 1), false},
		{"long name", strings.Replace(valid, "booking", strings.Repeat("x", 200), 1), false},
		{"too large", strings.Repeat(" ", MaxBytes) + valid, false},
		{"truncated", valid[:40], false},
		{"empty", "", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var got recordingSink
			h := &Handler{Sink: &got, IntervalMs: 500}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/announce", strings.NewReader(tc.body)))
			assert.Equal(t, len(got) == 1, tc.ok)
			if tc.ok {
				assert.Equal(t, w.Code, http.StatusOK)
				assert.Equal(t, strings.TrimSpace(w.Body.String()), `{"every_ms":500}`)
				assert.Equal(t, got[0].GetId(), "10.0.0.1:80")
				return
			}
			assert.Equal(t, w.Code, http.StatusBadRequest)
			assert.Equal(t, w.Header().Get(fault.HeaderKind), string(fault.BadRequest))
		})
	}
}

// FuzzParse checks that every accepted announcement is complete and within the
// limits.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"service":"s","zone":"z","address":"[::1]:1","state":"warm","incarnation":18446744073709551615}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := Parse(bytes.NewReader(data))
		if err != nil {
			assert.Equal(t, fault.KindOf(err), fault.BadRequest)
			return
		}
		address, err := netip.ParseAddrPort(a.GetAddress())
		assert.NilError(t, err)
		assert.Assert(t, address.Port() != 0)
		assert.Assert(t, a.GetService() != "" && a.GetZone() != "" && a.GetId() != "")
		assert.Assert(t, a.GetSlots() <= maxSlots && a.GetConnections() <= maxConnections)
	})
}
