package control

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// Headers of a call that one control VM passes to another.
const (
	headerForwarded = "Balsam-Forwarded"
	headerOperator  = "Balsam-Operator"
)

type forwardedKey struct{}

// forwarded describes a call that another control VM has passed on.
type forwarded struct {
	operator string
}

// withForwarded reads the headers of passed-on calls.
func withForwarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerForwarded) != "" {
			f := forwarded{operator: r.Header.Get(headerOperator)}
			r = r.WithContext(context.WithValue(r.Context(), forwardedKey{}, f))
		}
		next.ServeHTTP(w, r)
	})
}

// operator returns the authenticated operator of a call, or "".
func (s *Server) operator(ctx context.Context) string {
	if f, ok := ctx.Value(forwardedKey{}).(forwarded); ok {
		return f.operator
	}
	return s.opts.Operator(ctx)
}

// toLeader calls the leader when this control VM does not lead. It reports
// false when this control VM leads. A call is passed on once only.
func toLeader[Q, R any](ctx context.Context, s *Server, req Q, call func(adminpb.Admin, context.Context, Q) (R, error)) (R, bool, error) {
	var none R
	st := s.opts.Replica.Status()
	if st.IsLeader {
		return none, false, nil
	}
	_, again := ctx.Value(forwardedKey{}).(forwarded)
	if again || st.LeaderAddress == "" {
		return none, true, fault.ToTwirp(fault.New(fault.NotLeader, "no leader is known"))
	}
	header := http.Header{}
	header.Set(headerForwarded, "1")
	header.Set(headerOperator, s.operator(ctx))
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
