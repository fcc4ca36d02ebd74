package cli

import (
	"context"
	"net/http"
	"strings"
	"time"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	"balsamcourse.example/balsamcourse/internal/access"
	"balsamcourse.example/balsamcourse/internal/fault"
)

const (
	// failoverRounds is how often each control VM is tried.
	failoverRounds = 3
	// failoverPause is the wait between two rounds.
	failoverPause = 300 * time.Millisecond
	// answerMargin is added to the wait for an answer.
	answerMargin = 5 * time.Second
)

// group calls the control VMs in turn until one of them answers.
type group struct {
	clients  []adminpb.Admin
	operator string
	timeout  time.Duration
}

func (a *admin) connect() (*group, error) {
	if len(a.control) == 0 {
		return nil, usage("--control names no control VM")
	}
	g := &group{operator: a.operator, timeout: a.wait + answerMargin}
	transport := http.RoundTripper(http.DefaultTransport)
	if a.keyFile != "" {
		keys, err := access.Load(a.keyFile)
		if err != nil {
			return nil, err
		}
		transport = access.NewTransport(keys, transport)
		if g.operator == "" {
			g.operator = keys.Current().Name
		}
	}
	if g.operator == "" {
		g.operator = "operator"
	}
	for _, address := range a.control {
		g.clients = append(g.clients, adminpb.NewAdminProtobufClient(baseURL(address), &http.Client{Transport: transport}))
	}
	return g, nil
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	return "http://" + address
}

// call sends req to the control VMs in turn. Every call may be repeated:
// changes carry an id, the others are idempotent.
func call[Req, Resp any](ctx context.Context, g *group, method func(adminpb.Admin, context.Context, *Req) (*Resp, error), req *Req) (*Resp, error) {
	var last error
	for round := range failoverRounds {
		if round > 0 && !pause(ctx, failoverPause) {
			break
		}
		for _, client := range g.clients {
			resp, err := callOne(ctx, g.timeout, client, method, req)
			if err == nil {
				return resp, nil
			}
			last = err
			if !tryNext(err) {
				return nil, err
			}
		}
	}
	return nil, last
}

func callOne[Req, Resp any](ctx context.Context, timeout time.Duration, client adminpb.Admin, method func(adminpb.Admin, context.Context, *Req) (*Resp, error), req *Req) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := method(client, ctx, req)
	if err != nil {
		return nil, fault.FromTwirp(err, fault.NoQuorum)
	}
	return resp, nil
}

// tryNext reports whether another control VM may give a better answer.
func tryNext(err error) bool {
	switch fault.KindOf(err) {
	case fault.NotLeader, fault.NoQuorum, fault.Leaving, fault.DiskFailed:
		return true
	default:
		return false
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
