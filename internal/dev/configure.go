package dev

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// Times of the configuration.
const (
	changeTimeout = 2 * time.Second
	tryAgain      = 50 * time.Millisecond
	maxTries      = 400
)

// configure creates the demo service.
func configure(ctx context.Context, planned <-chan struct{}, operators string) error {
	client := adminpb.NewAdminProtobufClient("http://"+operators, http.DefaultClient)
	changes := []*catalogpb.Change{
		{Kind: &catalogpb.Change_PutZone{PutZone: &catalogpb.Zone{Name: zone, Region: region, State: catalogpb.ZoneState_ZONE_STATE_IN}}},
		{Kind: &catalogpb.Change_PutService{PutService: &catalogpb.Service{
			Name:       "demo",
			PathPrefix: "/demo",
			Slots:      demoSlots,
			ColdSlots:  1,
			WarmAfter:  demoWarmAfter,
		}}},
	}
	for i, change := range changes {
		id := &catalogpb.ChangeID{Operator: "dev", Number: uint64(time.Now().UnixNano()) + uint64(i)}
		if err := apply(ctx, planned, client, &catalogpb.OperatorChange{Id: id, Change: change}); err != nil {
			return err
		}
	}
	return nil
}

// apply resends the change until it has an answer: right after the start no
// replica leads.
func apply(ctx context.Context, planned <-chan struct{}, client adminpb.Admin, change *catalogpb.OperatorChange) error {
	var last error
	for range maxTries {
		limited, cancel := context.WithTimeout(ctx, changeTimeout)
		_, err := client.Apply(limited, &adminpb.ApplyRequest{Change: change})
		cancel()
		if err == nil {
			return nil
		}
		last = fault.FromTwirp(err, fault.NotLeader)
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-planned:
			return nil
		case <-time.After(tryAgain):
		}
	}
	return errors.Trace(last)
}
