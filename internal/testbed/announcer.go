package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"balsamcourse.example/balsamcourse/internal/announce"
)

// announceTimeout limits one announcement request.
const announceTimeout = time.Second

// permille is the load that an upstream with all slots in use reports.
const permille = 1000

// announceLoop announces the upstream to all its entry VMs once per interval
// until ctx ends. The default interval is 200 ms.
func (u *Upstream) announceLoop(ctx context.Context) {
	defer u.wg.Done()
	interval := u.opts.AnnounceInterval
	if interval == 0 {
		interval = 200 * time.Millisecond
	}
	client := &http.Client{Timeout: announceTimeout}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		u.sampleLoad()
		u.announceToAll(ctx, client)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sampleLoad samples the load that announcements carry once LoadReportDelay
// has passed.
func (u *Upstream) sampleLoad() {
	load := u.inFlight.Load() * permille / int64(u.opts.Slots)
	if u.reportZeroLoad.Load() {
		load = 0
	}
	time.AfterFunc(u.opts.LoadReportDelay, func() { u.reportedLoad.Store(load) })
}

// announceToAll sends one announcement to each address. Failures are ignored,
// as the next interval announces again.
func (u *Upstream) announceToAll(ctx context.Context, client *http.Client) {
	body, err := json.Marshal(announce.Announcement{
		Service:      u.opts.Service,
		Zone:         u.opts.Zone,
		ID:           u.opts.ID,
		Address:      u.Address(),
		Slots:        uint32(u.opts.Slots),
		Connections:  uint32(u.opts.Slots) * 100,
		Incarnation:  u.incarnation.Load(),
		State:        u.announcedState(),
		LoadPermille: uint32(u.reportedLoad.Load()),
	})
	if err != nil {
		return
	}
	for _, address := range u.opts.AnnounceAddresses {
		u.postAnnouncement(ctx, client, address, body)
	}
}

func (u *Upstream) announcedState() string {
	switch {
	case u.draining.Load():
		return "draining"
	case u.opts.StartWarm || !u.Cold():
		return "warm"
	}
	return "cold"
}

func (u *Upstream) postAnnouncement(ctx context.Context, client *http.Client, entry string, body []byte) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	if u.opts.Key != "" {
		req.Header.Set("Authorization", "Bearer "+u.opts.Key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
