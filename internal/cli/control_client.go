package cli

import (
	"context"
	"net/http"
	"strings"
	"time"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	"balsamcourse.example/balsamcourse/internal/access"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/wait"
)

const (
	// failoverInterval is the delay between two rounds of calls to all control
	// VMs.
	failoverInterval = 300 * time.Millisecond
	// responseMargin is added to --wait to give the time limit of a call to one
	// control VM, which may wait that long for a change to be accepted.
	responseMargin = 5 * time.Second
)

// controlClient calls the control VMs in turn until one of them responds.
type controlClient struct {
	clients  []adminpb.Admin
	operator string
	// wait is the value of --wait; when it has passed, no new round of calls starts.
	wait time.Duration
}

// connect returns a client for the control VMs. Without --operator, the operator is
// the first name in the key file, or "operator" without a key file.
func (a *admin) connect() (*controlClient, error) {
	if len(a.control) == 0 {
		return nil, usageError("--control is empty: expected the address of at least one control VM")
	}
	client := &controlClient{operator: a.operator, wait: a.wait}
	transport := http.RoundTripper(http.DefaultTransport)
	if a.keyFile != "" {
		keys, err := access.Load(a.keyFile)
		if err != nil {
			return nil, err
		}
		transport = access.NewTransport(keys, transport)
		if client.operator == "" {
			client.operator = keys.Current().Name
		}
	}
	if client.operator == "" {
		client.operator = "operator"
	}
	for _, address := range a.control {
		client.clients = append(client.clients, adminpb.NewAdminProtobufClient(baseURL(address), &http.Client{Transport: transport}))
	}
	return client, nil
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	return "http://" + address
}

// callWithFailover sends req to the control VMs in turn until one of them
// responds or the wait has passed. Resending is safe: changes have an id, by
// which a repeated one is recognised, and the other calls are idempotent.
func callWithFailover[Req, Resp any](ctx context.Context, client *controlClient, method func(adminpb.Admin, context.Context, *Req) (*Resp, error), req *Req) (*Resp, error) {
	deadline := time.Now().Add(client.wait)
	for {
		resp, err := callEachOnce(ctx, client, method, req)
		if err == nil || !shouldFailOver(err) || time.Now().After(deadline) || !wait.For(ctx, failoverInterval) {
			return resp, err
		}
	}
}

// callEachOnce tries each control VM once. If all fail, it returns the last error
// that a control VM responded with, or if there is none the last connection
// error.
func callEachOnce[Req, Resp any](ctx context.Context, control *controlClient, method func(adminpb.Admin, context.Context, *Req) (*Resp, error), req *Req) (*Resp, error) {
	var responseErr, connectErr error
	for _, client := range control.clients {
		resp, err := callWithTimeout(ctx, control.wait+responseMargin, client, method, req)
		if err == nil {
			return resp, nil
		}
		e := fault.FromTwirp(err, fault.Unreachable)
		if e.Kind == fault.Unreachable {
			connectErr = e
			continue
		}
		responseErr = e
		if !shouldFailOver(e) {
			break
		}
	}
	if responseErr != nil {
		return nil, responseErr
	}
	return nil, connectErr
}

func callWithTimeout[Req, Resp any](ctx context.Context, timeout time.Duration, client adminpb.Admin, method func(adminpb.Admin, context.Context, *Req) (*Resp, error), req *Req) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return method(client, ctx, req)
}

// shouldFailOver reports whether the call may succeed at another control VM.
func shouldFailOver(err error) bool {
	switch fault.KindOf(err) {
	case fault.NotLeader, fault.NoQuorum, fault.OutdatedOrder, fault.Leaving, fault.DiskFailed, fault.Unreachable:
		return true
	default:
		return false
	}
}
