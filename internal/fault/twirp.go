package fault

import (
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"
)

// Keys of the Twirp error metadata.
const (
	metaKind       = "kind"
	metaRetryAfter = "retry_after_ms"
)

// ToTwirp returns err as a Twirp error, with its kind and retry delay in the
// metadata.
func ToTwirp(err error) twirp.Error {
	e := FromError(err)
	resp := e.Response()
	te := twirp.NewError(resp.Code, e.Error())
	te = te.WithMeta(metaKind, string(e.Kind))
	return te.WithMeta(metaRetryAfter, strconv.FormatInt(resp.RetryAfter.Milliseconds(), 10))
}

// FromTwirp returns the error that ToTwirp encoded. An error without a kind, such
// as a refused connection, becomes one of kind fallback.
func FromTwirp(err error, fallback Kind) *Error {
	var te twirp.Error
	if !errors.As(err, &te) || te.Meta(metaKind) == "" {
		return New(fallback, "%v", err)
	}
	ms, _ := strconv.ParseInt(te.Meta(metaRetryAfter), 10, 64)
	kind := te.Meta(metaKind)
	return &Error{
		Kind:       Kind(kind),
		Detail:     strings.TrimPrefix(strings.TrimPrefix(te.Msg(), kind), ": "),
		RetryAfter: time.Duration(ms) * time.Millisecond,
	}
}
