package testbed

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

const (
	// operatorPatience is the time for which an operator waits for an answer.
	operatorPatience = time.Second
	// heldOrderTime is the time within which a control VM that resumes has executed
	// the orders in its sockets, with a wide margin.
	heldOrderTime = 3 * time.Second
	// heldOrderRetryTime is less than the time for which orders count as held.
	heldOrderRetryTime = 800 * time.Millisecond
	// appliedTime is several intervals of heartbeats.
	appliedTime = time.Second
)

// TestOrderHeldByFrozenControlVMIsNotExecuted guards against a zone that opens again: a
// control VM is frozen while orders to bring the zone back wait in its sockets, on an
// open connection and on a new one. Meanwhile other control VMs acknowledge that the
// zone comes back, and that it is taken out once more.
func TestOrderHeldByFrozenControlVMIsNotExecuted(t *testing.T) {
	for name, freezeLeader := range map[string]bool{"follower": false, "leader": true} {
		t.Run(name, func(t *testing.T) {
			s := &gatewaySystem{cluster: newCluster(t, 3, 0)}
			admins := newOperatorClient(s.cluster, "tester", operatorKey).clients
			setZone := func(ctx context.Context, a adminpb.Admin, out bool) error {
				_, err := a.SetZoneOut(ctx, &adminpb.SetZoneOutRequest{Change: &catalogpb.SetZoneOut{Zone: "a", Out: out}})
				return err
			}
			var frozen int
			s.askControl("zone out", func(ctx context.Context, a adminpb.Admin) error { return setZone(ctx, a, true) })
			s.askControl("leader", func(ctx context.Context, a adminpb.Admin) error {
				st, err := a.GetStatus(ctx, &adminpb.GetStatusRequest{})
				frozen = int(st.GetLeaderId()) - 1
				return err
			})
			s.awaitReplicated()
			if !freezeLeader {
				frozen = (frozen + 1) % len(admins)
			}
			_, err := admins[frozen].GetStatus(t.Context(), &adminpb.GetStatusRequest{})
			assert.NilError(t, err)
			s.controls[frozen].signal(syscall.SIGSTOP)
			waitFor(t, "stop of the process", func() string {
				stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.controls[frozen].PID()))
				assert.NilError(t, err)
				if _, state, _ := strings.Cut(string(stat), ") "); !strings.HasPrefix(state, "T") {
					return "state " + state[:1]
				}
				return ""
			})
			for range 2 {
				ctx, cancel := context.WithTimeout(t.Context(), operatorPatience)
				assert.Assert(t, setZone(ctx, admins[frozen], false) != nil, "a frozen control VM has answered")
				cancel()
				http.DefaultTransport.(*http.Transport).CloseIdleConnections()
			}
			others := append(append([]adminpb.Admin(nil), admins[:frozen]...), admins[frozen+1:]...)
			for i, out := range []bool{false, true} {
				waitFor(t, "order at another control VM", func() string {
					ctx, cancel := context.WithTimeout(t.Context(), operatorPatience)
					defer cancel()
					if err := setZone(ctx, others[i], out); err != nil {
						return err.Error()
					}
					return ""
				})
			}
			s.controls[frozen].signal(syscall.SIGCONT)
			time.Sleep(heldOrderTime)
			var state []*catalogpb.Zone
			s.askControl("configuration", func(ctx context.Context, a adminpb.Admin) error {
				resp, err := a.GetConfig(ctx, &adminpb.GetConfigRequest{})
				state = resp.GetConfig().GetZones()
				return err
			})
			assert.Equal(t, state[0].State, catalogpb.ZoneState_ZONE_STATE_OUT, "an order held while the control VM was frozen was executed")
			// The control VM that was frozen takes orders again.
			waitFor(t, "order at the control VM that was frozen", func() string {
				if err := setZone(t.Context(), admins[frozen], false); err != nil {
					return err.Error()
				}
				return ""
			})
		})
	}
}

// TestOrderHeldWhileOtherControlVMsRestartIsNotExecuted guards against a zone that opens
// again: a control VM is frozen with an order in its socket, and the others are restarted,
// so that no process that leads has heard from the frozen one since its start. The caller of
// the order waits for its answer all the while.
func TestOrderHeldWhileOtherControlVMsRestartIsNotExecuted(t *testing.T) {
	s := &gatewaySystem{cluster: newCluster(t, 3, 0)}
	admins := newOperatorClient(s.cluster, "tester", operatorKey).clients
	setZone := func(ctx context.Context, a adminpb.Admin, out bool) error {
		_, err := a.SetZoneOut(ctx, &adminpb.SetZoneOutRequest{Change: &catalogpb.SetZoneOut{Zone: "a", Out: out}})
		return err
	}
	s.askControl("zone out", func(ctx context.Context, a adminpb.Admin) error { return setZone(ctx, a, true) })
	s.awaitReplicated()
	var frozen int
	s.askControl("leader", func(ctx context.Context, a adminpb.Admin) error {
		st, err := a.GetStatus(ctx, &adminpb.GetStatusRequest{})
		frozen = int(st.GetLeaderId()) % len(admins)
		return err
	})
	// A follower applies what is committed with the next heartbeat. Its order is then
	// outdated only by what is ordered below.
	time.Sleep(appliedTime)
	s.controls[frozen].signal(syscall.SIGSTOP)
	held := make(chan error, 1)
	go func() { held <- setZone(t.Context(), admins[frozen], false) }()
	// The order must be in the socket before the others change the zone.
	time.Sleep(operatorPatience)
	for i, p := range s.controls {
		if i != frozen {
			p.kill()
			p.start()
		}
	}
	for _, out := range []bool{false, true} {
		waitFor(t, "order at another control VM", func() string {
			ctx, cancel := context.WithTimeout(t.Context(), operatorPatience)
			defer cancel()
			for i, a := range admins {
				if i != frozen && setZone(ctx, a, out) == nil {
					return ""
				}
			}
			return "no control VM has acknowledged it"
		})
	}
	s.controls[frozen].signal(syscall.SIGCONT)
	err := <-held
	// Until the process knows the leader, it refuses all orders. What it reads in the first
	// second after a pause may have been held, too.
	for end := time.Now().Add(heldOrderRetryTime); err != nil && !strings.Contains(err.Error(), "outdated_order") && time.Now().Before(end); {
		err = setZone(t.Context(), admins[frozen], false)
	}
	assert.ErrorContains(t, err, "outdated_order")
	var zones []*catalogpb.Zone
	s.askControl("configuration", func(ctx context.Context, a adminpb.Admin) error {
		resp, err := a.GetConfig(ctx, &adminpb.GetConfigRequest{})
		zones = resp.GetConfig().GetZones()
		return err
	})
	assert.Equal(t, zones[0].State, catalogpb.ZoneState_ZONE_STATE_OUT, "an order held while the control VM was frozen was executed")
}
