package testbed

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/access"
	"balsamcourse.example/balsamcourse/internal/httpnet"
)

// measureEnv is the environment variable that enables measurements, which take
// minutes.
const measureEnv = "BALSAMCOURSE_MEASURE"

// zoneChanger changes the state of an availability zone repeatedly and measures
// how long acceptance takes.
type zoneChanger struct {
	c            *cluster
	client       *http.Client
	changeNumber uint64
}

func newZoneChanger(c *cluster) *zoneChanger {
	keys, err := access.Load(filepath.Join(c.dir, "operators.keys"))
	assert.NilError(c.t, err)
	client := httpnet.NewHTTP1Client(nil)
	client.Transport = access.NewTransport(keys, client.Transport)
	return &zoneChanger{c: c, client: client, changeNumber: 1_000_000}
}

func (m *zoneChanger) admin(control int) adminpb.Admin {
	return adminpb.NewAdminProtobufClient("http://"+m.c.controlOperator[control], m.client)
}

// changeZoneState takes availability zone a out, or brings it back, and returns the time
// until the change is accepted.
func (m *zoneChanger) changeZoneState(control int) time.Duration {
	m.changeNumber++
	state := catalogpb.ZoneState_ZONE_STATE_RETURNING
	if m.changeNumber%2 == 1 {
		state = catalogpb.ZoneState_ZONE_STATE_LEAVING
	}
	req := &adminpb.ApplyRequest{WaitMs: 500, Change: &catalogpb.OperatorChange{
		Id: &catalogpb.ChangeID{Operator: "tester", Number: m.changeNumber},
		Change: &catalogpb.Change{Kind: &catalogpb.Change_SetZoneState{
			SetZoneState: &catalogpb.SetZoneState{Zone: "a", State: state},
		}},
	}}
	start := time.Now()
	for {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		resp, err := m.admin(control).Apply(ctx, req)
		cancel()
		if err == nil {
			assert.Equal(m.c.t, resp.Result.Outcome, catalogpb.ChangeOutcome_CHANGE_OUTCOME_APPLIED, resp.Result.Detail)
		}
		if err == nil && resp.Accepted {
			return time.Since(start)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// leaderIndex returns the index of the control VM that leads, as the given one
// reports it.
func (m *zoneChanger) leaderIndex(control int) int {
	resp, err := m.admin(control).GetStatus(context.Background(), &adminpb.GetStatusRequest{})
	assert.NilError(m.c.t, err)
	return int(resp.LeaderId) - 1
}

// measureChanges makes n changes through a control VM and logs how long
// acceptance took.
func (m *zoneChanger) measureChanges(what string, control, n int) {
	times := make([]time.Duration, n)
	for i := range times {
		times[i] = m.changeZoneState(control)
	}
	slices.Sort(times)
	m.c.t.Logf("%s: %d changes, p50 %v, p99 %v, longest %v", what, n, times[n/2], times[n*99/100], times[n-1])
}

// cpuTime returns the CPU time, user and system, that the process has used.
func (p *process) cpuTime() time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	assert.NilError(p.t, err)
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+2:]))
	ticks := 0
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		assert.NilError(p.t, err)
		ticks += n
	}
	const tick = 10 * time.Millisecond
	return time.Duration(ticks) * tick
}

// residentMemory returns the resident memory as the kernel prints it, in kB.
func (p *process) residentMemory() string {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	assert.NilError(p.t, err)
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	line, _, _ := strings.Cut(rest, "\n")
	return strings.TrimSpace(line)
}

// measureIdle logs the CPU share and memory of the control processes and of one
// entry process without traffic.
func (c *cluster) measureIdle(leader int) {
	const window = 20 * time.Second
	all := append(slices.Clone(c.controls), c.entries[0])
	before := make([]time.Duration, len(all))
	for i, p := range all {
		before[i] = p.cpuTime()
	}
	time.Sleep(window)
	for i, p := range all {
		role := ""
		if i == leader {
			role = " (leader)"
		}
		share := 100 * float64(p.cpuTime()-before[i]) / float64(window)
		c.t.Logf("idle: %s%s: %.2f %% of a core, %s", p.Name, role, share, p.residentMemory())
	}
}

// TestMeasureChanges measures the time until changes are accepted with 3 control
// VMs and 20 entry VMs: without faults, with a suspended follower, after the
// leader is suspended, and with a suspended entry VM.
func TestMeasureChanges(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skip("set " + measureEnv + " to measure")
	}
	c := newCluster(t, 3, 20)
	c.configureBooking()
	m := newZoneChanger(c)
	m.changeZoneState(0)
	waitFor(t, "registration of all entry VMs", func() string {
		resp, err := m.admin(0).GetStatus(context.Background(), &adminpb.GetStatusRequest{})
		if err != nil || len(resp.Entries) < 20 {
			return "fewer than 20 entry VMs are registered"
		}
		return ""
	})
	leader := m.leaderIndex(0)
	c.measureIdle(leader)
	m.measureChanges("no faults", leader, 300)
	follower := (leader + 1) % 3
	c.controls[follower].signal(syscall.SIGSTOP)
	m.measureChanges("one control VM suspended", leader, 100)
	c.controls[follower].signal(syscall.SIGCONT)
	other := (leader + 2) % 3
	for range 5 {
		leader = m.leaderIndex(other)
		if other == leader {
			other = (other + 1) % 3
		}
		c.controls[leader].signal(syscall.SIGSTOP)
		t.Logf("leader suspended: next change accepted after %v", m.changeZoneState(other))
		c.controls[leader].signal(syscall.SIGCONT)
		time.Sleep(3 * time.Second)
	}
	c.entries[0].signal(syscall.SIGSTOP)
	for range 5 {
		t.Logf("one entry VM suspended: change accepted after %v", m.changeZoneState(other))
	}
	c.entries[0].signal(syscall.SIGCONT)
}
