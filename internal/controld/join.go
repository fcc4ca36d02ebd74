package controld

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
	// joinPause is the pause between two attempts to join; a group that has
	// just formed elects its leader within a second or two.
	joinPause = 300 * time.Millisecond
	// joinTimeout bounds one attempt. It ends before the replica has caught up
	// when that takes long; the leader then goes on by itself.
	joinTimeout = time.Second
	// membershipCheck is the pace at which a replica looks whether it still
	// hears a leader. Two looks in a row without one, longer than an election
	// takes, mean that the group may have removed it.
	membershipCheck = 750 * time.Millisecond
)

// withIdentity fills in the replica id and the way to form or join the group
// for settings that name seeds.
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

// keepMembership adds this replica to the group whenever it is not a member,
// or hears no leader: a group that has a leader has removed it then, since it
// was silent for too long. It comes back under its id, with its log, so that it
// can break no promise that it made before.
func (d *Daemon) keepMembership(ctx context.Context) {
	asked, unheard := 0, 0
	for {
		st := d.node.Status()
		unheard++
		if st.LeaderID != 0 {
			unheard = 0
		}
		member := isMember(st, d.settings.ID)
		if !member || unheard > 1 {
			d.askToJoin(ctx, d.contact(st, asked))
			asked++
		}
		pause := membershipCheck
		if !member {
			pause = joinPause
		}
		if !wait.For(ctx, pause) {
			return
		}
	}
}

// contact returns whom to ask the n-th time: the seeds and the members that
// this replica knows of, in turn.
func (d *Daemon) contact(st replica.Status, n int) string {
	members := make([]string, len(st.Members))
	for i, m := range st.Members {
		members[i] = m.GetAddress()
	}
	known := slices.DeleteFunc(union.Of(d.seeds(), members), func(address string) bool { return address == d.settings.ClusterAddress })
	if len(known) == 0 {
		return ""
	}
	return known[n%len(known)]
}

func (d *Daemon) seeds() []string {
	if d.opts.Seeds != nil {
		if seeds := d.opts.Seeds(); len(seeds) > 0 {
			return seeds
		}
	}
	return d.settings.Seeds
}

// isMember reports whether a replica knows itself as a member.
func isMember(st replica.Status, id uint64) bool {
	return slices.ContainsFunc(st.Members, func(m replica.Member) bool { return m.GetReplicaId() == id })
}

// askToJoin asks the control VM at address; an empty one stands for nobody.
func (d *Daemon) askToJoin(ctx context.Context, address string) {
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
