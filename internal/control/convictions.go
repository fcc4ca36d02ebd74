package control

import (
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/features"
)

const (
	// convictionInterval is the minimum time between two commands that change the
	// convictions.
	convictionInterval = time.Second
	// maxConvictionAge bounds the time for which a conviction is recorded. It is the longest
	// quarantine that entry VMs can be configured for.
	maxConvictionAge = 24 * time.Hour
	// maxClockError is the greatest difference between the times of day of two leaders that is
	// allowed for.
	maxClockError = time.Hour
	// sameCrash is the greatest difference between the times that several entry VMs report
	// for one crash.
	sameCrash = 10 * time.Second
)

// convictionBatch collects what entry VMs report of requests that crash upstreams, until
// the next command. Entry VMs report again what has not been recorded.
type convictionBatch struct {
	nextAt  time.Duration
	put     map[convictionID]*catalogpb.Conviction
	removed map[convictionID]*catalogpb.Conviction
}

type convictionID struct{ service, fingerprint string }

func newConvictionBatch() convictionBatch {
	return convictionBatch{put: make(map[convictionID]*catalogpb.Conviction), removed: make(map[convictionID]*catalogpb.Conviction)}
}

// record adds the reports of an entry VM that cfg does not take into account already. wall
// is the time of day.
func (b *convictionBatch) record(wall time.Time, cfg *catalogpb.Config, reports []*clusterpb.ConvictionReport) {
	for _, r := range reports {
		id := convictionID{r.Service, r.Fingerprint}
		known := catalog.FindConviction(cfg.Convictions, r.Service, r.Fingerprint)
		if r.Released {
			if known != nil && known.CrashedMs == r.ReleasedCrashedMs {
				b.removed[id] = known
			}
			continue
		}
		crashed := wall.Add(-time.Duration(r.CrashAgeMs) * time.Millisecond)
		left := min(time.Duration(r.LeftMs)*time.Millisecond, maxConvictionAge)
		if left <= 0 || known != nil && crashed.Before(time.UnixMilli(int64(known.CrashedMs)).Add(sameCrash)) {
			continue
		}
		if _, pending := b.put[id]; !pending && len(b.put) >= catalog.MaxConvictions {
			continue
		}
		b.put[id] = &catalogpb.Conviction{
			Service: r.Service, Fingerprint: r.Fingerprint,
			CrashedMs: uint64(crashed.UnixMilli()), UntilMs: uint64(wall.Add(left).UnixMilli()),
		}
	}
}

// command returns the command that records the batch and removes the convictions of cfg
// that have expired, nil if nothing changes. It empties the batch.
func (b *convictionBatch) command(now time.Duration, wall time.Time, cfg *catalogpb.Config) *catalogpb.Command {
	if now < b.nextAt || len(b.put) == 0 && len(cfg.Convictions) == 0 {
		return nil
	}
	update := &catalogpb.UpdateConvictions{}
	for _, c := range b.put {
		update.Put = append(update.Put, c)
	}
	for _, c := range cfg.Convictions {
		until := time.UnixMilli(int64(c.UntilMs))
		// One that lies too far in the future was recorded while the time of day was wrong.
		if !wall.Before(until) || until.Sub(wall) > maxConvictionAge+maxClockError || b.removed[convictionID{c.Service, c.Fingerprint}] == c {
			update.Remove = append(update.Remove, c)
		}
	}
	clear(b.put)
	clear(b.removed)
	if len(update.Put) == 0 && len(update.Remove) == 0 {
		return nil
	}
	b.nextAt = now + convictionInterval
	return &catalogpb.Command{Kind: &catalogpb.Command_UpdateConvictions{UpdateConvictions: update}}
}

// recordConvictions adds what an entry VM reports of requests that crash upstreams.
func (l *loop) recordConvictions(reports []*clusterpb.ConvictionReport) {
	if len(reports) > 0 {
		l.term.convictions.record(time.Now(), l.term.config, reports)
	}
}

// convictionsCommand returns the command that brings the recorded convictions up to date,
// nil if they are or if a member of the control group does not know them.
func (l *loop) convictionsCommand() *catalogpb.Command {
	cmd := l.term.convictions.command(l.server.now(), time.Now(), l.term.config)
	if cmd == nil || l.server.memberSupport(features.Convictions) != nil {
		return nil
	}
	update := cmd.GetUpdateConvictions()
	for _, c := range update.Put {
		l.server.opts.Log.Log(event.ConvictionSet).Str("service", c.Service).Str("fingerprint", c.Fingerprint).
			Uint64("crashed_ms", c.CrashedMs).Uint64("until_ms", c.UntilMs).Send()
	}
	for _, c := range update.Remove {
		l.server.opts.Log.Log(event.ConvictionRemoved).Str("service", c.Service).Str("fingerprint", c.Fingerprint).
			Uint64("crashed_ms", c.CrashedMs).Uint64("until_ms", c.UntilMs).Send()
	}
	return cmd
}
