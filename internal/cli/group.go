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
	// failoverPause is the wait before the control VMs are tried again.
	failoverPause = 300 * time.Millisecond
	// answerMargin is added to the wait for an answer.
	answerMargin = 5 * time.Second
)

// group calls the control VMs in turn until one of them answers.
type group struct {
	clients  []adminpb.Admin
	operator string
	// wait bounds the time in which the control VMs are tried again.
	wait time.Duration
}

func (a *admin) connect() (*group, error) {
	if len(a.control) == 0 {
		return nil, usage("--control names no control VM")
	}
	g := &group{operator: a.operator, wait: a.wait}
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

// call sends req to the control VMs in turn, until one of them answers or the
// wait has passed. Every call may be repeated: changes carry an id, the others
// are idempotent.
func call[Req, Resp any](ctx context.Context, g *group, method func(adminpb.Admin, context.Context, *Req) (*Resp, error), req *Req) (*Resp, error) {
	end := time.Now().Add(g.wait)
	for {
		resp, err := callRound(ctx, g, method, req)
		if err == nil || !tryNext(err) || time.Now().After(end) || !wait.For(ctx, failoverPause) {
			return resp, err
		}
	}
}

// callRound tries each control VM once. Of several errors it returns the last
// one that a control VM gave, rather than that of a failed connection.
func callRound[Req, Resp any](ctx context.Context, g *group, method func(adminpb.Admin, context.Context, *Req) (*Resp, error), req *Req) (*Resp, error) {
	var given, failed error
	for _, client := range g.clients {
		resp, err := callOne(ctx, g.wait+answerMargin, client, method, req)
		if err == nil {
			return resp, nil
		}
		e := fault.FromTwirp(err, fault.Unreachable)
		if e.Kind == fault.Unreachable {
			failed = e
			continue
		}
		given = e
		if !tryNext(e) {
			break
		}
	}
	if given != nil {
		return nil, given
	}
	return nil, failed
}

func callOne[Req, Resp any](ctx context.Context, timeout time.Duration, client adminpb.Admin, method func(adminpb.Admin, context.Context, *Req) (*Resp, error), req *Req) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return method(client, ctx, req)
}

// tryNext reports whether another control VM may give a better answer.
func tryNext(err error) bool {
	switch fault.KindOf(err) {
	case fault.NotLeader, fault.NoQuorum, fault.Leaving, fault.DiskFailed, fault.Unreachable:
		return true
	default:
		return false
	}
}
