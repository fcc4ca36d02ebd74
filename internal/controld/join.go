package controld

import (
	"context"
	"time"

	"github.com/juju/errors"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/identity"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/storage"
	"balsamcourse.example/balsamcourse/internal/wait"
)

const (
	// joinPause is the pause between two attempts to join; a group that has
	// just formed elects its leader within a second or two.
	joinPause = 300 * time.Millisecond
	// joinTimeout bounds one attempt. It ends before the replica has caught up
	// when that takes long; the leader then goes on by itself.
	joinTimeout = time.Second
)

// withIdentity fills in the replica id and the way to form or join the group
// for settings that name seeds.
func withIdentity(s settings.Control) (settings.Control, error) {
	if len(s.Seeds) == 0 {
		return s, nil
	}
	id, err := identity.Load(storage.OS{}, s.DataDir, identity.Start{
		First: s.FirstStart,
		Self:  s.ClusterAddress,
		Seeds: s.Seeds,
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

// join asks the control VMs that the settings name to add this replica, until
// it is a member of the group.
func (d *Daemon) join(ctx context.Context) {
	for n := 0; !d.isMember(); n++ {
		seeds := d.seeds()
		if len(seeds) > 0 {
			d.askToJoin(ctx, seeds[n%len(seeds)])
		}
		if !wait.For(ctx, joinPause) {
			return
		}
	}
}

func (d *Daemon) seeds() []string {
	if d.opts.Seeds != nil {
		if seeds := d.opts.Seeds(); len(seeds) > 0 {
			return seeds
		}
	}
	return d.settings.Seeds
}

// isMember reports whether this replica knows itself as a member.
func (d *Daemon) isMember() bool {
	for _, m := range d.node.Status().Members {
		if m.GetReplicaId() == d.settings.ID {
			return true
		}
	}
	return false
}

func (d *Daemon) askToJoin(ctx context.Context, address string) {
	if address == d.settings.ClusterAddress {
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
