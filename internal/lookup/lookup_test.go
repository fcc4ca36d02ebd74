package lookup

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// fakeSource is a configview.Source whose configuration may be stale or missing.
type fakeSource struct {
	view  *configview.View
	stale bool
}

func (s fakeSource) View() *configview.View { return s.view }
func (s fakeSource) Fresh() bool            { return !s.stale }

// unreachable is a Health that holds the entry VMs that do not respond.
type unreachable map[string]bool

func (s unreachable) Reachable(entry string) bool { return !s[entry] }

func entry(id, zone string) *catalogpb.Entry {
	return &catalogpb.Entry{Id: id, Zone: zone, CallerAddress: id + ":80"}
}

// config has two entry VMs in each of two availability zones; a2 dispatches
// the cell of zone a and b1 that of zone b.
func config() *catalogpb.Config {
	return &catalogpb.Config{
		Services: []*catalogpb.Service{{Name: "photos", PathPrefix: "/photos"}},
		Zones: []*catalogpb.Zone{
			{Name: "a", State: catalogpb.ZoneState_ZONE_STATE_IN},
			{Name: "b", State: catalogpb.ZoneState_ZONE_STATE_IN},
		},
		Entries: []*catalogpb.Entry{entry("a1", "a"), entry("a2", "a"), entry("b1", "b"), entry("b2", "b")},
		Cells: []*catalogpb.Cell{
			{Service: "photos", Zone: "a", Entry: "a2"},
			{Service: "photos", Zone: "b", Entry: "b1"},
		},
	}
}

func get(h *Handler, query string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/entries?"+query, nil))
	return w
}

func handler(s configview.Source) *Handler {
	return &Handler{
		EntryID: "a1",
		Zone:    "a",
		Source:  s,
		Health:  unreachable{},
		TTL:     1500 * time.Millisecond,
		Leaving: func() bool { return false },
	}
}

type weightedEntry struct {
	id     string
	weight int
}

func TestLookupOrdersUsableEntriesByWeight(t *testing.T) {
	all := []weightedEntry{{"a2", 8}, {"a1", 2}, {"b1", 1}, {"b2", 1}}
	cases := []struct {
		name   string
		query  string
		change func(*catalogpb.Config, *Handler)
		want   []weightedEntry
	}{
		{"zone defaults to that of the entry VM", "service=photos", nil, all},
		{"zone of the caller", "service=photos&zone=b", nil, []weightedEntry{{"b1", 8}, {"b2", 2}, {"a1", 1}, {"a2", 1}}},
		{"unknown zone", "service=photos&zone=x", nil, []weightedEntry{{"a1", 1}, {"a2", 1}, {"b1", 1}, {"b2", 1}}},
		{"other entry VM leaving", "service=photos", func(c *catalogpb.Config, _ *Handler) { c.Entries[1].Leaving = true },
			[]weightedEntry{{"a1", 2}, {"b1", 1}, {"b2", 1}}},
		{"this entry VM leaving", "service=photos", func(_ *catalogpb.Config, h *Handler) { h.Leaving = func() bool { return true } },
			[]weightedEntry{{"a2", 8}, {"b1", 1}, {"b2", 1}}},
		{"entry VM unreachable", "service=photos", func(_ *catalogpb.Config, h *Handler) { h.Health = unreachable{"b1": true} },
			[]weightedEntry{{"a2", 8}, {"a1", 2}, {"b2", 1}}},
		{"zone out", "service=photos", func(c *catalogpb.Config, _ *Handler) { c.Zones[1].State = catalogpb.ZoneState_ZONE_STATE_OUT },
			[]weightedEntry{{"a2", 8}, {"a1", 2}}},
		{"all other entry VMs unreachable", "service=photos", func(_ *catalogpb.Config, h *Handler) {
			h.Health = unreachable{"a1": true, "a2": true, "b1": true, "b2": true}
		}, []weightedEntry{{"a1", 2}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			cfg := config()
			h := handler(nil)
			if tc.change != nil {
				tc.change(cfg, h)
			}
			h.Source = fakeSource{view: configview.New(cfg)}
			w := get(h, tc.query)
			assert.Equal(t, w.Code, http.StatusOK)
			var response Response
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &response))
			assert.Equal(t, response.TTLMs, int64(1500))
			assert.Equal(t, len(response.Entries), len(tc.want))
			for i, e := range response.Entries {
				assert.Equal(t, weightedEntry{e.ID, e.Weight}, tc.want[i])
				assert.Equal(t, e.Address, e.ID+":80")
			}
		})
	}
}

func TestLookupReturnsAtMostMaxEntries(t *testing.T) {
	cfg := config()
	for id := byte('c'); id < 'c'+2*maxEntries; id++ {
		cfg.Entries = append(cfg.Entries, entry(string(id), "b"))
	}
	var response Response
	w := get(handler(fakeSource{view: configview.New(cfg)}), "service=photos")
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &response))
	assert.Equal(t, len(response.Entries), maxEntries)
	assert.Equal(t, response.Entries[0].ID, "a2")
}

func TestLookupIsRefusedWithoutFreshConfigOrKnownService(t *testing.T) {
	v := configview.New(config())
	cases := []struct {
		name   string
		source fakeSource
		query  string
		want   fault.Kind
	}{
		{"missing configuration", fakeSource{}, "service=photos", fault.NotFresh},
		{"stale configuration", fakeSource{view: v, stale: true}, "service=photos", fault.NotFresh},
		{"unknown service", fakeSource{view: v}, "service=video", fault.UnknownService},
		{"missing service parameter", fakeSource{view: v}, "", fault.UnknownService},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := get(handler(tc.source), tc.query)
			assert.Equal(t, w.Header().Get(fault.HeaderKind), string(tc.want))
			assert.Assert(t, w.Code >= http.StatusBadRequest)
		})
	}
}
