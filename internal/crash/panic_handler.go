package crash

import (
	"net/http"

	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// PanicHandler returns a function that logs the panic p of an HTTP handler and
// answers the call with fault.Internal.
func PanicHandler(log event.Logger) func(w http.ResponseWriter, p any) {
	return func(w http.ResponseWriter, p any) {
		err := fault.New(fault.Internal, "%v", p)
		log.Log(event.CallPanic).Err(err).Send()
		fault.WriteHTTP(w, err)
	}
}
