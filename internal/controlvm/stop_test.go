package controlvm

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/httpnet"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/testbed"
)

// TestPlannedStopAnswersOrderInProgress guards against the connection of an order that is
// closed without an answer as its control VM stops, because the order waits for longer
// than the stop takes.
func TestPlannedStopAnswersOrderInProgress(t *testing.T) {
	free, err := testbed.FreeAddresses(3)
	assert.NilError(t, err)
	s := settings.DefaultControl()
	s.Zone, s.DataDir, s.AuthDisabled, s.TrustNetwork = "a", t.TempDir(), true, true
	s.ClusterListen, s.OperatorListen, s.ClusterAddress = free[0], free[1], free[0]
	s.Seeds, s.FirstStart = []string{free[0]}, true
	entered := make(chan struct{})
	order := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(entered)
		<-r.Context().Done()
		fault.WriteHTTP(w, fault.New(fault.NoQuorum, ""))
	})
	planned, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		ended <- Run(context.Background(), planned, s, Options{Logs: io.Discard, Listeners: func(adminpb.Admin, event.Logger) []httpnet.Endpoint {
			return []httpnet.Endpoint{{Address: free[2], Handler: order}}
		}})
	}()
	status := make(chan int, 1)
	go func() {
		for {
			resp, err := http.Post("http://"+free[2], "", nil)
			select {
			case <-entered:
			default:
				// The control VM does not listen yet.
				time.Sleep(10 * time.Millisecond)
				continue
			}
			if err != nil {
				status <- 0
				return
			}
			_ = resp.Body.Close()
			status <- resp.StatusCode
			return
		}
	}()
	<-entered
	start := time.Now()
	close(planned)
	assert.Equal(t, <-status, http.StatusServiceUnavailable)
	assert.NilError(t, <-ended)
	assert.Check(t, time.Since(start) < transferTimeout+shutdownTimeout)
}
