package testbed

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// orderDelay is how long the network holds an order, longer than the operator waits for
// its answer.
const orderDelay = 3 * time.Second

// holdingLink accepts connections to target and delivers what arrives on each of them,
// including its end, orderDelay after it was opened.
func holdingLink(t *testing.T, target string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	deliver := func(in *net.TCPConn) {
		defer func() { _ = in.Close() }()
		time.Sleep(orderDelay)
		out, err := net.Dial("tcp", target)
		if err != nil {
			return
		}
		defer func() { _ = out.Close() }()
		// An error means that the other side has ended the connection.
		_, _ = io.Copy(out, in)
		_ = out.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(in, out)
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go deliver(conn.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// Guards against EVAC: a zone opened again because an order to bring it back was carried out
// that the network had delayed until the operator had given it up, given it to another
// control VM, and taken the zone out once more.
func TestOrderDelayedUntilItsCallerHasLeftIsNotExecuted(t *testing.T) {
	s := &gatewaySystem{cluster: newCluster(t, 3, 0)}
	setZone := func(out bool) {
		s.askControl("zone", func(ctx context.Context, a adminpb.Admin) error {
			_, err := a.SetZoneOut(ctx, &adminpb.SetZoneOutRequest{Change: &catalogpb.SetZoneOut{Zone: "a", Out: out}})
			return err
		})
	}
	setZone(true)
	s.awaitReplicated()
	// Each control VM gets a delayed order: one of them leads.
	for _, address := range s.controlOperator {
		delayed := adminpb.NewAdminProtobufClient("http://"+holdingLink(t, address), &http.Client{Transport: keyTransport{operatorKey}})
		ctx, cancel := context.WithTimeout(t.Context(), operatorPatience)
		_, err := delayed.SetZoneOut(ctx, &adminpb.SetZoneOutRequest{Change: &catalogpb.SetZoneOut{Zone: "a", Out: false}})
		cancel()
		assert.Assert(t, err != nil, "an order that was held got an answer")
	}
	setZone(false)
	setZone(true)
	time.Sleep(orderDelay + heldOrderTime)
	var zones []*catalogpb.Zone
	s.askControl("configuration", func(ctx context.Context, a adminpb.Admin) error {
		resp, err := a.GetConfig(ctx, &adminpb.GetConfigRequest{})
		zones = resp.GetConfig().GetZones()
		return err
	})
	assert.Equal(t, zones[0].State, catalogpb.ZoneState_ZONE_STATE_OUT, "an order was executed whose caller had left")
}
