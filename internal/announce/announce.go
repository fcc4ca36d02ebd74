// Package announce serves the HTTP endpoint at which upstreams announce
// themselves and their state. Checked announcements are passed to a Sink.
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

// MaxBytes is the maximum size of the body of an announcement.
const MaxBytes = 4 << 10

// Limits on the values in an announcement.
const (
	maxSlots       = 1 << 16
	maxConnections = 1 << 20
	maxNameBytes   = 128
)

// Announcement is the JSON body of POST /v1/announce.
type Announcement struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// ID identifies the upstream within its service. It stays the same over
	// restarts; the default is the address.
	ID string `json:"id,omitempty"`
	// Address is the IP address and port at which the upstream serves.
	Address string `json:"address"`
	// Slots is the number of requests that the upstream can process
	// concurrently when it is warm.
	Slots uint32 `json:"slots,omitempty"`
	// Connections is the maximum number of connections to the upstream.
	Connections uint32 `json:"connections,omitempty"`
	// Incarnation increases with each start of the upstream.
	Incarnation uint64 `json:"incarnation"`
	// State is "cold", "warm" or "draining".
	State string `json:"state"`
	// LoadPermille is the load that the upstream reports of itself, in
	// thousandths.
	LoadPermille uint32 `json:"load_permille,omitempty"`
}

// Reply is the JSON answer to an announcement.
type Reply struct {
	// IntervalMs is the time after which the upstream should announce itself
	// again, in milliseconds.
	IntervalMs int `json:"every_ms"`
}

// Parse reads and checks an announcement. Any error is of kind BadRequest.
func Parse(r io.Reader) (*clusterpb.Announcement, error) {
	var a Announcement
	dec := json.NewDecoder(io.LimitReader(r, MaxBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		return nil, fault.New(fault.BadRequest, "invalid announcement: %v", err)
	}
	if err := a.check(); err != nil {
		return nil, fault.New(fault.BadRequest, "invalid announcement: %v", err)
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
		return errors.NotValidf("address %q (want IP address and port)", a.Address)
	}
	if a.Slots > maxSlots || a.Connections > maxConnections {
		return errors.NotValidf("slots %d (maximum %d) or connections %d (maximum %d)", a.Slots, maxSlots, a.Connections, maxConnections)
	}
	switch a.State {
	case "cold", "warm", "draining":
		return nil
	}
	return errors.NotValidf("state %q (want cold, warm or draining)", a.State)
}

func checkNames(service, zone, id string) error {
	if service == "" || zone == "" {
		return errors.NotValidf("empty service or zone")
	}
	if len(service) > maxNameBytes || len(zone) > maxNameBytes || len(id) > maxNameBytes {
		return errors.NotValidf("service, zone or id longer than %d bytes", maxNameBytes)
	}
	return nil
}

// Sink receives checked announcements.
type Sink interface {
	Announce(a *clusterpb.Announcement)
}

// Handler serves POST /v1/announce. It answers with a Reply, or with an error
// of kind BadRequest.
type Handler struct {
	Sink Sink
	// IntervalMs is the interval between announcements requested from
	// upstreams, in milliseconds.
	IntervalMs int
}

// ServeHTTP implements http.Handler.
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
