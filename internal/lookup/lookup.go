// Package lookup answers callers that ask which entry VMs to use.
package lookup

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/view"
)

// Weights of the entries in an answer. An entry VM that dispatches a cell of
// the service in the caller's availability zone saves the call a network hop.
const (
	weightDispatcher = 8
	weightNear       = 2
	weightFar        = 1
)

// maxEntries bounds the entries in one answer.
const maxEntries = 8

// Entry is one entry VM in an answer.
type Entry struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Weight  int    `json:"weight"`
}

// Response is the JSON answer of GET /v1/entries.
type Response struct {
	Service string  `json:"service"`
	Entries []Entry `json:"entries"`
	// TTLMs is how long the caller may keep the answer, in milliseconds.
	TTLMs int64 `json:"ttl_ms"`
}

// Health tells which entry VMs can be reached.
type Health interface {
	// Reachable reports whether the entry VM has answered of late.
	Reachable(entry string) bool
}

// Handler serves GET /v1/entries.
type Handler struct {
	// EntryID is the id of this entry VM, Zone its availability zone.
	EntryID, Zone string
	Source        view.Source
	Health        Health
	TTL           time.Duration
	// Leaving reports whether this entry VM is stopping.
	Leaving func() bool
}

// ServeHTTP answers with entry VMs in order of preference. The parameter
// service is required; zone states the caller's availability zone and is by
// default that of this entry VM.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v := h.Source.View()
	// A stale configuration may name entry VMs that have left.
	if v == nil || !h.Source.Fresh() {
		fault.WriteHTTP(w, fault.New(fault.NotFresh, "look-up"))
		return
	}
	service := r.URL.Query().Get("service")
	if v.Service(service) == nil {
		fault.WriteHTTP(w, fault.New(fault.UnknownService, "service %q", service))
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
		Entries: h.choose(v, service, zone),
		TTLMs:   h.TTL.Milliseconds(),
	})
}

// choose returns the usable entry VMs: dispatchers of the service in the
// caller's availability zone, others in that zone, then the rest.
func (h *Handler) choose(v *view.View, service, zone string) []Entry {
	entries := make([]Entry, 0, len(v.Config.Entries))
	for _, e := range v.Config.Entries {
		if !h.usable(v, e) {
			continue
		}
		entries = append(entries, Entry{
			ID:      e.Id,
			Address: e.CallerAddress,
			Zone:    e.Zone,
			Weight:  weigh(v, e, service, zone),
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

func (h *Handler) usable(v *view.View, e *catalogpb.Entry) bool {
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

func weigh(v *view.View, e *catalogpb.Entry, service, zone string) int {
	if e.Zone != zone {
		return weightFar
	}
	for _, c := range v.Cells(service) {
		if c.Entry == e.Id && c.Zone == zone {
			return weightDispatcher
		}
	}
	return weightNear
}
