package controlvm

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/identity"
	"balsamcourse.example/balsamcourse/internal/replica"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/storage"
	"balsamcourse.example/balsamcourse/internal/union"
	"balsamcourse.example/balsamcourse/internal/wait"
)

const (
	// joinRetryInterval is the pause between two attempts to join. A newly
	// formed group elects its leader within one or two seconds.
	joinRetryInterval = 300 * time.Millisecond
	// joinTimeout limits one attempt. It may end before the replica has caught
	// up; the leader then completes the change on its own.
	joinTimeout = time.Second
	// membershipCheckInterval is the interval at which a replica checks whether
	// it knows a leader. Two consecutive checks without one take longer than an
	// election, so the group may have removed the replica.
	membershipCheckInterval = 750 * time.Millisecond
)

// withIdentity returns s with the replica id and, depending on whether this replica
// forms or joins the control group, the founding members or Join set. Settings
// without seeds are returned unchanged.
func withIdentity(s settings.Control) (settings.Control, error) {
	if len(s.Seeds) == 0 {
		return s, nil
	}
	id, err := identity.Load(storage.OSFS{}, s.DataDir, identity.BootstrapOptions{
		FirstStart:  s.FirstStart,
		SelfAddress: s.ClusterAddress,
		Seeds:       s.Seeds,
	})
	if err != nil {
		return s, errors.Trace(err)
	}
	s.ID = id.ReplicaID
	s.Join = id.Joins()
	for i, address := range id.Founders {
		s.Members = append(s.Members, settings.Member{ID: uint64(i) + 1, Address: address})
	}
	return s, nil
}

// maintainMembership asks to be added to the control group whenever this
// replica is not a member or knows no leader. In the second case a group that
// does have a leader must have removed the replica because it was silent for
// too long. The replica rejoins with its old id and log, so that it keeps the
// votes and acknowledgements that it gave before.
func (d *Daemon) maintainMembership(ctx context.Context) {
	joinAttempts, checksWithoutLeader := 0, 0
	var pending pendingJoin
	for {
		st := d.node.Status()
		checksWithoutLeader++
		if st.LeaderID != 0 {
			checksWithoutLeader = 0
		}
		member := isMember(st, d.settings.ID)
		if !member || checksWithoutLeader > 1 {
			pending.attempted(time.Now())
			d.requestJoin(ctx, d.joinTarget(st, joinAttempts))
			joinAttempts++
		}
		if member && st.LeaderID != 0 {
			pending.report(d.log, st, d.started)
		}
		pause := membershipCheckInterval
		if !member {
			pause = joinRetryInterval
		}
		if !wait.For(ctx, pause) {
			return
		}
	}
}

// pendingJoin counts the attempts to be added to the control group until one has
// succeeded.
type pendingJoin struct {
	attempts uint64
	first    time.Time
}

func (p *pendingJoin) attempted(now time.Time) {
	if p.attempts == 0 {
		p.first = now
	}
	p.attempts++
}

// report logs that this replica is a member of a group with a leader, if it had asked to
// be added.
func (p *pendingJoin) report(log event.Logger, st replica.Status, started time.Time) {
	if p.attempts == 0 {
		return
	}
	now := time.Now()
	log.Log(event.Joined).Uint64("attempts", p.attempts).Uint64("took_ms", uint64(now.Sub(p.first).Milliseconds())).
		Uint64("since_start_ms", uint64(now.Sub(started).Milliseconds())).Uint64("leader", st.LeaderID).Str("replica_role", st.Role).Send()
	*p = pendingJoin{}
}

// joinTarget returns the address to ask on the given attempt, cycling through
// the seeds and the members known to this replica; "" if there is none.
func (d *Daemon) joinTarget(st replica.Status, attempt int) string {
	members := make([]string, len(st.Members))
	for i, m := range st.Members {
		members[i] = m.GetAddress()
	}
	known := slices.DeleteFunc(union.Of(d.seeds(), members), func(address string) bool { return address == d.settings.ClusterAddress })
	if len(known) == 0 {
		return ""
	}
	return known[attempt%len(known)]
}

func (d *Daemon) seeds() []string {
	if d.opts.Seeds != nil {
		if seeds := d.opts.Seeds(); len(seeds) > 0 {
			return seeds
		}
	}
	return d.settings.Seeds
}

// isMember reports whether the replica with the given id is a member according
// to st.
func isMember(st replica.Status, id uint64) bool {
	return slices.ContainsFunc(st.Members, func(m replica.Member) bool { return m.GetReplicaId() == id })
}

// requestJoin asks the control VM at address to add this replica; it does
// nothing if address is empty. An error is logged, and the next attempt follows
// later.
func (d *Daemon) requestJoin(ctx context.Context, address string) {
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	client := adminpb.NewAdminProtobufClient("http://"+address, d.client)
	_, err := client.AddMember(ctx, &adminpb.AddMemberRequest{
		Member: &catalogpb.ControlMember{
			ReplicaId: d.settings.ID,
			Address:   d.settings.ClusterAddress,
			Zone:      d.settings.Zone,
		},
		WaitMs: uint32((joinTimeout / 2).Milliseconds()),
	})
	if err != nil {
		d.log.Log(event.JoinFailed).Str("address", address).Err(err).Send()
	}
}
