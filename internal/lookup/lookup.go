// Package lookup selects the entry VMs that callers should connect to, and serves
// the selection to callers over HTTP.
package lookup

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// Weights of the entries in a response. An entry VM that dispatches a cell of the
// service in the caller's availability zone saves a network hop per call.
const (
	weightDispatcher = 8
	weightSameZone   = 2
	weightOtherZone  = 1
)

// maxEntries bounds the entries in one response.
const maxEntries = 8

// Entry is one entry VM in a Response.
type Entry struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Weight  int    `json:"weight"`
}

// Response is the JSON response to GET /v1/entries. Entries is in order of
// preference.
type Response struct {
	Service string  `json:"service"`
	Entries []Entry `json:"entries"`
	// TTLMs is how long the caller may cache the response, in milliseconds.
	TTLMs int64 `json:"ttl_ms"`
}

// Health reports which entry VMs can be reached.
type Health interface {
	// Reachable reports whether the entry VM with the given ID has responded
	// recently.
	Reachable(entry string) bool
}

// Handler serves GET /v1/entries.
type Handler struct {
	// EntryID is the ID of this entry VM, Zone its availability zone.
	EntryID, Zone string
	Source        configview.Source
	Health        Health
	// TTL is how long callers may cache a response.
	TTL time.Duration
	// Leaving reports whether this entry VM is stopping.
	Leaving func() bool
}

// ServeHTTP responds with a Response. The query parameter service is required;
// zone is the caller's availability zone and defaults to that of this entry VM.
// The request fails with fault.UnknownService if the service does not exist, and
// with fault.NotFresh if the configuration is missing or stale.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v := h.Source.View()
	// A stale configuration may contain entry VMs that have left.
	if v == nil || !h.Source.Fresh() {
		fault.WriteHTTP(w, fault.New(fault.NotFresh, "look-up: configuration is missing or stale"))
		return
	}
	service := r.URL.Query().Get("service")
	if v.Service(service) == nil {
		fault.WriteHTTP(w, fault.New(fault.UnknownService, "service %q does not exist", service))
		return
	}
	zone := r.URL.Query().Get("zone")
	if zone == "" {
		zone = h.Zone
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(Response{
		Service: service,
		Entries: h.selectEntries(v, service, zone),
		TTLMs:   h.TTL.Milliseconds(),
	})
}

// selectEntries returns at most maxEntries usable entry VMs: first dispatchers of
// the service in the caller's availability zone, then others in that zone, then
// those of other zones.
func (h *Handler) selectEntries(v *configview.View, service, zone string) []Entry {
	entries := make([]Entry, 0, len(v.Config.Entries))
	for _, e := range v.Config.Entries {
		if !h.usable(v, e) {
			continue
		}
		entries = append(entries, Entry{
			ID:      e.Id,
			Address: e.CallerAddress,
			Zone:    e.Zone,
			Weight:  entryWeight(v, e, service, zone),
		})
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		if a.Weight != b.Weight {
			return b.Weight - a.Weight
		}
		return strings.Compare(a.ID, b.ID)
	})
	return entries[:min(len(entries), maxEntries)]
}

// usable reports whether callers may be sent to the entry VM.
func (h *Handler) usable(v *configview.View, e *catalogpb.Entry) bool {
	if e.Leaving {
		return false
	}
	if e.Id == h.EntryID {
		return !h.Leaving()
	}
	if z := v.Zone(e.Zone); z != nil && !v.ZoneOpen(e.Zone) {
		return false
	}
	return h.Health.Reachable(e.Id)
}

// entryWeight returns the weight of an entry VM for a caller in the zone.
func entryWeight(v *configview.View, e *catalogpb.Entry, service, zone string) int {
	if e.Zone != zone {
		return weightOtherZone
	}
	for _, c := range v.Cells(service) {
		if c.Entry == e.Id && c.Zone == zone {
			return weightDispatcher
		}
	}
	return weightSameZone
}
