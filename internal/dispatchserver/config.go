package dispatchserver

import (
	"time"

	"github.com/cespare/xxhash/v2"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/dispatch"
)

// cellConfig returns the settings of a cell in v. They are empty, with the zone
// closed, when its service does not exist.
func cellConfig(v *configview.View, key configview.CellKey) dispatch.Config {
	cfg := dispatch.Config{ZoneOpen: v.ZoneOpen(key.Zone)}
	svc := v.Service(key.Service)
	if svc == nil {
		return dispatch.Config{}
	}
	cfg.Slots = int(svc.Slots)
	cfg.ColdSlots = int(svc.ColdSlots)
	cfg.WarmAfter = int(svc.WarmAfter)
	cfg.QueueLimit = int(svc.QueueLimit)
	cfg.Timeout = millis(svc.TimeoutMs)
	cfg.ProbeBudgetPermille = int(svc.ProbeBudgetPermille)
	cfg.ProbeCost = millis(svc.ProbeCostMs)
	cfg.ProbeEnabled = svc.ProbePath != ""
	return cfg
}

func millis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// CellOf returns the cell of an upstream. In a service with several shards, the
// hash of the upstream's id selects the shard.
func CellOf(v *configview.View, service, zone, id string) configview.CellKey {
	key := configview.CellKey{Service: service, Zone: zone}
	if svc := v.Service(service); svc != nil && svc.Shards > 1 {
		key.Shard = uint32(xxhash.Sum64String(id) % uint64(svc.Shards))
	}
	return key
}

// announceEvent returns the event for an announcement that was sent age ago.
func announceEvent(a *clusterpb.Announcement, age time.Duration) dispatch.Announce {
	return dispatch.Announce{
		ID: a.Id, Address: a.Address, Slots: int(a.Slots), Incarnation: a.Incarnation,
		State: parseReportedState(a.State), Age: age,
	}
}

// parseReportedState returns the state for its name in an announcement. Unknown
// names count as cold.
func parseReportedState(state string) dispatch.ReportedState {
	switch state {
	case "warm":
		return dispatch.ReportedWarm
	case "draining":
		return dispatch.ReportedDraining
	}
	return dispatch.ReportedCold
}
