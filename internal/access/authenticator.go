package access

import (
	"context"
	"net/http"
	"strings"

	"github.com/twitchtv/twirp"

	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// holderKey is the context key for the name of the key holder.
type holderKey struct{}

// Holder returns the name of the holder of the request's key, or "" if ctx carries
// none.
func Holder(ctx context.Context) string {
	name, _ := ctx.Value(holderKey{}).(string)
	return name
}

// WithHolder returns a copy of ctx that carries the name of the key holder.
func WithHolder(ctx context.Context, name string) context.Context {
	return context.WithValue(ctx, holderKey{}, name)
}

// RejectFunc writes the error response to a request without a valid key.
type RejectFunc func(w http.ResponseWriter, r *http.Request, err *fault.Error)

// Authenticator admits requests that carry a valid key and rejects all others.
type Authenticator struct {
	keys   *Keys
	log    event.Logger
	reject RejectFunc
}

// NewAuthenticator returns an authenticator that accepts keys. With nil keys it
// admits every request. With a nil reject function it writes Twirp errors.
func NewAuthenticator(keys *Keys, log event.Logger, reject RejectFunc) *Authenticator {
	if reject == nil {
		reject = rejectTwirp
	}
	return &Authenticator{keys: keys, log: log, reject: reject}
}

// Wrap returns a handler that forwards requests with a valid key to next, with the
// name of the key holder in their context. It logs and rejects other requests.
func (a *Authenticator) Wrap(next http.Handler) http.Handler {
	if a.keys == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := a.authenticate(r)
		if !ok {
			a.log.Log(event.WrongKey).Str("remote", r.RemoteAddr).Str("path", r.URL.Path).Send()
			a.reject(w, r, fault.New(fault.Unauthorized, "no valid key in the Authorization header"))
			return
		}
		next.ServeHTTP(w, r.WithContext(WithHolder(r.Context(), name)))
	})
}

func (a *Authenticator) authenticate(r *http.Request) (string, bool) {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return "", false
	}
	return a.keys.Holder(secret)
}

func rejectTwirp(w http.ResponseWriter, _ *http.Request, err *fault.Error) {
	// A write error means that the client has disconnected.
	_ = twirp.WriteError(w, fault.ToTwirp(err))
}
