package control

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// Headers that a control VM sets on a call that it forwards to the leader.
const (
	headerForwarded = "Balsam-Forwarded"
	headerOperator  = "Balsam-Operator"
)

type forwardedCallKey struct{}

// ownCallKey marks the calls that another control VM makes for itself.
type ownCallKey struct{}

// forwardedCall describes a call that another control VM forwarded.
type forwardedCall struct {
	operator string
}

// withForwardedCall adds a forwardedCall to the context of requests that have
// the headers of a forwarded call.
func withForwardedCall(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerForwarded) != "" {
			f := forwardedCall{operator: r.Header.Get(headerOperator)}
			ctx := context.WithValue(r.Context(), forwardedCallKey{}, f)
			if o, ok := orderFromHeader(r.Header); ok {
				ctx = context.WithValue(ctx, orderKey{}, o)
			}
			r = r.WithContext(ctx)
		} else {
			r = r.WithContext(context.WithValue(r.Context(), ownCallKey{}, true))
		}
		next.ServeHTTP(w, r)
	})
}

// operator returns the authenticated operator of a call, or "" if
// authentication is disabled.
func (s *Server) operator(ctx context.Context) string {
	if f, ok := ctx.Value(forwardedCallKey{}).(forwardedCall); ok {
		return f.operator
	}
	return s.opts.Operator(ctx)
}

// forwardToLeader forwards the call to the leader and reports true, unless this
// control VM leads. A call is forwarded only once: if the VM that receives it
// does not lead either, or if no leader is known, the error is of kind
// NotLeader.
func forwardToLeader[Q, R any](ctx context.Context, s *Server, req Q, call func(adminpb.Admin, context.Context, Q) (R, error)) (R, bool, error) {
	var none R
	st := s.opts.Replica.Status()
	if st.IsLeader {
		return none, false, nil
	}
	_, alreadyForwarded := ctx.Value(forwardedCallKey{}).(forwardedCall)
	if alreadyForwarded || st.LeaderAddress == "" {
		return none, true, fault.ToTwirp(fault.New(fault.NotLeader, "no leader is known"))
	}
	header := http.Header{}
	header.Set(headerForwarded, "1")
	header.Set(headerOperator, s.operator(ctx))
	orderOf(ctx).setHeader(header)
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, header)
	if err != nil {
		return none, true, fault.ToTwirp(err)
	}
	client := adminpb.NewAdminProtobufClient("http://"+st.LeaderAddress, s.opts.Client)
	resp, err := call(client, ctx, req)
	if err != nil {
		return none, true, fault.ToTwirp(fault.FromTwirp(err, fault.NotLeader))
	}
	return resp, true, nil
}
