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

// announceTimeout bounds one announcement.
const announceTimeout = time.Second

// permille is the scale of reported load.
const permille = 1000

// announceLoop announces the stand-in to all its entry VMs at its interval.
func (u *Upstream) announceLoop(ctx context.Context) {
	defer u.done.Done()
	every := u.opts.AnnounceInterval
	if every == 0 {
		every = 200 * time.Millisecond
	}
	client := &http.Client{Timeout: announceTimeout}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		u.report()
		u.announceOnce(ctx, client)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// report takes the load that later announcements carry.
func (u *Upstream) report() {
	load := u.inFlight.Load() * permille / int64(u.opts.Slots)
	if u.falseLoad.Load() {
		load = 0
	}
	time.AfterFunc(u.opts.LoadReportDelay, func() { u.reported.Store(load) })
}

func (u *Upstream) announceOnce(ctx context.Context, client *http.Client) {
	body, err := json.Marshal(announce.Announcement{
		Service:      u.opts.Service,
		Zone:         u.opts.Zone,
		ID:           u.opts.ID,
		Address:      u.Address(),
		Slots:        uint32(u.opts.Slots),
		Connections:  uint32(u.opts.Slots) * 100,
		Incarnation:  u.incarnation.Load(),
		State:        u.state(),
		LoadPermille: uint32(u.reported.Load()),
	})
	if err != nil {
		return
	}
	for _, e := range u.opts.AnnounceAddresses {
		u.post(ctx, client, e, body)
	}
}

func (u *Upstream) state() string {
	switch {
	case u.draining.Load():
		return "draining"
	case u.opts.StartWarm || !u.Cold():
		return "warm"
	}
	return "cold"
}

func (u *Upstream) post(ctx context.Context, client *http.Client, entry string, body []byte) {
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
