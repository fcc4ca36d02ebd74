package access

import (
	"context"
	"net/http"
	"strings"

	"github.com/twitchtv/twirp"

	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// holderKey is the context key of the holder's name.
type holderKey struct{}

// Holder returns the name that belongs to the key of the request, or "".
func Holder(ctx context.Context) string {
	name, _ := ctx.Value(holderKey{}).(string)
	return name
}

// WithHolder returns a context that carries the name of a key's holder.
func WithHolder(ctx context.Context, name string) context.Context {
	return context.WithValue(ctx, holderKey{}, name)
}

// RejectFunc writes the answer to a request without a valid key.
type RejectFunc func(w http.ResponseWriter, r *http.Request, err *fault.Error)

// Authenticator lets requests pass that carry a valid key.
type Authenticator struct {
	keys   *Keys
	log    event.Logger
	refuse RejectFunc
}

// NewAuthenticator returns a guard over keys; nil keys let every request pass. Refuse
// may be nil, which answers as Twirp does.
func NewAuthenticator(keys *Keys, log event.Logger, refuse RejectFunc) *Authenticator {
	if refuse == nil {
		refuse = refuseTwirp
	}
	return &Authenticator{keys: keys, log: log, refuse: refuse}
}

// Wrap returns a handler that passes requests with a valid key on to next.
// Their context carries the name of the holder.
func (g *Authenticator) Wrap(next http.Handler) http.Handler {
	if g.keys == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := g.check(r)
		if !ok {
			g.log.Log(event.WrongKey).Str("remote", r.RemoteAddr).Str("path", r.URL.Path).Send()
			g.refuse(w, r, fault.New(fault.Unauthorized, "no valid key in the Authorization header"))
			return
		}
		next.ServeHTTP(w, r.WithContext(WithHolder(r.Context(), name)))
	})
}

func (g *Authenticator) check(r *http.Request) (string, bool) {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), scheme)
	if !ok {
		return "", false
	}
	return g.keys.Holder(secret)
}

func refuseTwirp(w http.ResponseWriter, _ *http.Request, err *fault.Error) {
	// The caller is gone when the write fails.
	_ = twirp.WriteError(w, fault.ToTwirp(err))
}
