package controld

import (
	"context"
	"io"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/httpnet"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/testbed"
)

// vm is a control VM that is started and stopped with its disk.
type vm struct {
	t       *testing.T
	s       settings.Control
	admin   chan adminpb.Admin
	service adminpb.Admin
	stop    context.CancelFunc
	ended   chan struct{}
}

func newVM(t *testing.T) *vm {
	v := &vm{t: t, s: settings.DefaultControl()}
	v.s.Zone, v.s.DataDir, v.s.Open = "a", t.TempDir(), true
	free, err := testbed.FreeAddresses(2)
	assert.NilError(t, err)
	v.s.ClusterListen, v.s.OperatorListen = free[0], free[1]
	v.s.ClusterAddress = v.s.ClusterListen
	v.s.HeartbeatMs, v.s.ElectionMs = 50, 400
	return v
}

func (v *vm) start() {
	ctx, cancel := context.WithCancel(context.Background())
	v.stop, v.ended = cancel, make(chan struct{})
	v.admin = make(chan adminpb.Admin, 1)
	go func() {
		defer close(v.ended)
		err := Run(ctx, nil, v.s, Options{Logs: io.Discard, Listeners: func(a adminpb.Admin, _ event.Logger) []httpnet.Service {
			v.admin <- a
			return nil
		}})
		if err != nil {
			v.t.Error(err)
		}
	}()
	v.service = <-v.admin
}

func (v *vm) end() {
	v.stop()
	<-v.ended
}

// until polls a condition for as long as a test may run.
func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatal(what)
}

// voters returns the addresses of the voters that the VM knows of.
func (v *vm) voters() map[string]bool {
	out := map[string]bool{}
	resp, err := v.service.GetStatus(context.Background(), &adminpb.GetStatusRequest{})
	if err != nil {
		return out
	}
	for _, m := range resp.Members {
		if !m.Member.Learner {
			out[m.Member.Address] = true
		}
	}
	return out
}

// startGroup starts three VMs that are told each other and one that is not, and
// waits until it has joined. Their settings are those of later starts then.
func startGroup(t *testing.T, lostAfter settings.Millis) []*vm {
	t.Helper()
	vms := []*vm{newVM(t), newVM(t), newVM(t), newVM(t)}
	for _, v := range vms {
		v.s.FirstStart = true
		v.s.LostAfterMs = lostAfter
		for _, seed := range vms[:3] {
			v.s.Seeds = append(v.s.Seeds, seed.s.ClusterAddress)
		}
	}
	for _, v := range vms {
		v.start()
	}
	t.Cleanup(func() {
		for _, v := range vms {
			v.end()
		}
	})
	until(t, "the fourth VM does not join", func() bool { return len(vms[0].voters()) == 4 })
	for _, v := range vms {
		v.s.FirstStart = false
	}
	return vms
}

// TestGroupFormsGrowsAndReplacesALostDisk starts three VMs that are told each
// other and one that is not, wipes a founder, and restarts all: what was
// acknowledged before is there.
func TestGroupFormsGrowsAndReplacesALostDisk(t *testing.T) {
	vms := startGroup(t, 0)

	state := &catalogpb.DesiredState{Version: 5, Source: []byte("five")}
	until(t, "no state is taken", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := vms[3].service.ApplyState(ctx, &adminpb.ApplyStateRequest{State: state})
		return err == nil
	})

	vms[1].end()
	assert.NilError(t, os.RemoveAll(vms[1].s.DataDir))
	vms[1].start()
	until(t, "the lost disk is not replaced", func() bool {
		resp, err := vms[0].service.GetStatus(context.Background(), &adminpb.GetStatusRequest{})
		if err != nil || len(resp.Members) != 4 {
			return false
		}
		for _, m := range resp.Members {
			if m.Member.Address == vms[1].s.ClusterAddress && m.Member.ReplicaId > 3 && !m.Member.Learner {
				return true
			}
		}
		return false
	})

	for _, v := range vms {
		v.end()
	}
	for _, v := range vms {
		v.start()
	}
	until(t, "the state is lost", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		resp, err := vms[2].service.ReadState(ctx, &adminpb.ReadStateRequest{})
		return err == nil && resp.Version == 5 && string(resp.Source) == "five"
	})
}

// TestSilentVMLeavesAndComesBack ends one of four VMs until the group has
// removed it, and starts it again with its disk.
func TestSilentVMLeavesAndComesBack(t *testing.T) {
	vms := startGroup(t, 1_500)
	gone := vms[1].s.ClusterAddress
	vms[1].end()
	until(t, "the silent VM stays", func() bool { return len(vms[0].voters()) == 3 && !vms[0].voters()[gone] })
	vms[1].start()
	until(t, "it does not come back", func() bool { return vms[0].voters()[gone] && vms[1].voters()[gone] })
}
