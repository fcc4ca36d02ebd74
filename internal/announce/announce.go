// Package announce receives what upstreams say of themselves and relays it to
// the entry VM that dispatches their cell.
package announce

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/juju/errors"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// MaxBytes bounds the body of one announcement.
const MaxBytes = 4 << 10

// Bounds on what one upstream may state of itself.
const (
	maxSlots       = 1 << 16
	maxConnections = 1 << 20
	maxNameBytes   = 128
)

// Announcement is the JSON body of POST /v1/announce.
type Announcement struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// ID names the upstream within its service. It stays the same over
	// restarts; empty means the address.
	ID string `json:"id,omitempty"`
	// Address is the IP address and port at which the upstream serves.
	Address string `json:"address"`
	// Slots is the number of requests that the warm upstream runs at once.
	Slots uint32 `json:"slots,omitempty"`
	// Connections bounds the connections to the upstream.
	Connections uint32 `json:"connections,omitempty"`
	// Incarnation grows with each start of the upstream.
	Incarnation uint64 `json:"incarnation"`
	// State is "cold", "warm" or "draining".
	State string `json:"state"`
	// LoadPermille is the upstream's own view of its load.
	LoadPermille uint32 `json:"load_permille,omitempty"`
}

// Reply is the JSON answer to an announcement.
type Reply struct {
	// IntervalMs is the time after which the upstream should announce again.
	IntervalMs int `json:"every_ms"`
}

// Parse reads and checks an announcement.
func Parse(r io.Reader) (*clusterpb.Announcement, error) {
	var a Announcement
	dec := json.NewDecoder(io.LimitReader(r, MaxBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		return nil, fault.New(fault.BadRequest, "announcement: %v", err)
	}
	if err := a.check(); err != nil {
		return nil, fault.New(fault.BadRequest, "announcement: %v", err)
	}
	if a.ID == "" {
		a.ID = a.Address
	}
	return &clusterpb.Announcement{
		Service:      a.Service,
		Zone:         a.Zone,
		Id:           a.ID,
		Address:      a.Address,
		Slots:        a.Slots,
		Connections:  a.Connections,
		Incarnation:  a.Incarnation,
		State:        a.State,
		LoadPermille: a.LoadPermille,
	}, nil
}

func (a *Announcement) check() error {
	if err := checkNames(a.Service, a.Zone, a.ID); err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil || address.Port() == 0 {
		return errors.NotValidf("address %q: no IP address and port", a.Address)
	}
	if a.Slots > maxSlots || a.Connections > maxConnections {
		return errors.NotValidf("slots %d, connections %d", a.Slots, a.Connections)
	}
	switch a.State {
	case "cold", "warm", "draining":
		return nil
	}
	return errors.NotValidf("state %q", a.State)
}

func checkNames(service, zone, id string) error {
	if service == "" || zone == "" {
		return errors.NotValidf("empty service or zone")
	}
	if len(service) > maxNameBytes || len(zone) > maxNameBytes || len(id) > maxNameBytes {
		return errors.NotValidf("name over %d bytes", maxNameBytes)
	}
	return nil
}

// Sink takes checked announcements.
type Sink interface {
	Announce(a *clusterpb.Announcement)
}

// Handler serves POST /v1/announce.
type Handler struct {
	Sink Sink
	// IntervalMs is the interval asked of upstreams, in milliseconds.
	IntervalMs int
}

// ServeHTTP checks the announcement and hands it to the sink.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a, err := Parse(r.Body)
	if err != nil {
		fault.WriteHTTP(w, err)
		return
	}
	h.Sink.Announce(a)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Reply{IntervalMs: h.IntervalMs})
}
