package dev

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/cli"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// Limits for the changes that create the demo service. The attempts cover the
// time until the control replica has become leader.
const (
	changeTimeout = 2 * time.Second
	retryInterval = 50 * time.Millisecond
	maxAttempts   = 400
)

// createDemoService creates the availability zone and the demo service through the
// Admin service, and prints what it waits for.
func createDemoService(ctx context.Context, plannedStop <-chan struct{}, o cli.DevOptions) error {
	client := adminpb.NewAdminProtobufClient("http://"+o.OperatorListen, http.DefaultClient)
	waitsFor := ""
	report := func(err error) {
		if why := err.Error(); why != waitsFor {
			waitsFor = why
			fmt.Fprintf(o.Out, "waiting    for the control replica at %s: %s\n", o.OperatorListen, why)
		}
	}
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
		if err := applyWithRetry(ctx, plannedStop, client, &catalogpb.OperatorChange{Id: id, Change: change}, report); err != nil {
			return err
		}
	}
	return nil
}

// applyWithRetry sends the change until it gets a response, because there is no
// leader immediately after the start. It returns the last error after maxAttempts,
// and nil without a response if plannedStop is closed. It reports each error.
func applyWithRetry(ctx context.Context, plannedStop <-chan struct{}, client adminpb.Admin, change *catalogpb.OperatorChange, report func(error)) error {
	var lastErr error
	for range maxAttempts {
		callCtx, cancel := context.WithTimeout(ctx, changeTimeout)
		_, err := client.Apply(callCtx, &adminpb.ApplyRequest{Change: change})
		cancel()
		if err == nil {
			return nil
		}
		lastErr = fault.FromTwirp(err, fault.NotLeader)
		report(lastErr)
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-plannedStop:
			return nil
		case <-time.After(retryInterval):
		}
	}
	return errors.Trace(lastErr)
}
