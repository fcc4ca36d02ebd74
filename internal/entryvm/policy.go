package entryvm

import (
	"net/http"

	"balsamcourse.example/balsamcourse/internal/baseline"
	"balsamcourse.example/balsamcourse/internal/dispatchserver"
	"balsamcourse.example/balsamcourse/internal/httpnet"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/slot"
)

// buildSlotAllocator creates the components that grant slots under the dispatch
// policy in the settings.
func (d *Daemon) buildSlotAllocator(peers *http.Client) {
	opts := dispatchserver.Options{
		Entry:            d.settings.ID,
		Incarnation:      d.self.Incarnation,
		View:             d.config,
		AcceptedRevision: d.config.AcceptedRevision,
		Client:           peers,
		ProbeClient:      httpnet.NewHTTP1Client(httpnet.DialFunc(d.opts.DialUpstream)),
		Log:              d.log,
		Metrics:          d.metrics.Scope,
		Seed:             d.self.Incarnation,
	}
	if !d.usesCells() {
		d.baseline = baseline.New(baseline.Options{
			Policy: baseline.Policy(d.settings.DispatchPolicy),
			Entry:  d.settings.ID,
			View:   d.config,
			HTTP:   peers,
			Seed:   d.self.Incarnation,
		})
		opts.BroadcastAnnouncements = true
		opts.OnAnnounce = d.baseline.ApplyAnnouncements
		opts.OnCounts = d.baseline.ApplyPeerCounts
	}
	d.dispatcher = dispatchserver.New(opts)
	d.slots = slot.NewClient(slot.Options{
		Entry:        d.settings.ID,
		Zone:         d.settings.Zone,
		Incarnation:  d.self.Incarnation,
		View:         d.config,
		Local:        d.dispatcher,
		HTTP:         peers,
		LongPollHTTP: d.client(httpnet.NewClient(d.opts.DialPeer)),
	})
}

// usesCells reports whether the dispatchers of cells grant slots.
func (d *Daemon) usesCells() bool {
	p := d.settings.DispatchPolicy
	return p == settings.PolicyCell || p == settings.PolicyCellPlain
}

// slotAllocator returns the allocator that grants slots to calls.
func (d *Daemon) slotAllocator() slot.Allocator {
	if d.baseline != nil {
		return d.baseline
	}
	return d.slots
}
