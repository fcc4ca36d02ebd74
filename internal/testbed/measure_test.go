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

// envMeasure makes the measurements run, which take minutes.
const envMeasure = "BALSAMCOURSE_MEASURE"

// changer makes changes one after the other.
type changer struct {
	c      *cluster
	client *http.Client
	number uint64
}

func newChanger(c *cluster) *changer {
	keys, err := access.Load(filepath.Join(c.dir, "operators.keys"))
	assert.NilError(c.t, err)
	client := httpnet.NewHTTP1Client(nil)
	client.Transport = access.NewTransport(keys, client.Transport)
	return &changer{c: c, client: client, number: 1_000_000}
}

func (m *changer) admin(control int) adminpb.Admin {
	return adminpb.NewAdminProtobufClient("http://"+m.c.controlOperator[control], m.client)
}

// change moves availability zone a on to its next state, and returns the time
// until the change is accepted.
func (m *changer) change(control int) time.Duration {
	m.number++
	state := catalogpb.ZoneState_ZONE_STATE_RETURNING
	if m.number%2 == 1 {
		state = catalogpb.ZoneState_ZONE_STATE_LEAVING
	}
	req := &adminpb.ApplyRequest{WaitMs: 500, Change: &catalogpb.OperatorChange{
		Id: &catalogpb.ChangeID{Operator: "tester", Number: m.number},
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

func (m *changer) leader(control int) int {
	resp, err := m.admin(control).GetStatus(context.Background(), &adminpb.GetStatusRequest{})
	assert.NilError(m.c.t, err)
	return int(resp.LeaderId) - 1
}

func (m *changer) series(what string, control, n int) {
	times := make([]time.Duration, n)
	for i := range times {
		times[i] = m.change(control)
	}
	slices.Sort(times)
	m.c.t.Logf("%s: %d changes, p50 %v, p99 %v, longest %v", what, n, times[n/2], times[n*99/100], times[n-1])
}

// processorTime returns the time that the process has used.
func (p *process) processorTime() time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
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

// memory returns the resident memory in kB.
func (p *process) memory() string {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(p.t, err)
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	line, _, _ := strings.Cut(rest, "\n")
	return strings.TrimSpace(line)
}

func (c *cluster) idle(leader int) {
	const window = 20 * time.Second
	all := append(slices.Clone(c.controls), c.entries[0])
	before := make([]time.Duration, len(all))
	for i, p := range all {
		before[i] = p.processorTime()
	}
	time.Sleep(window)
	for i, p := range all {
		role := ""
		if i == leader {
			role = " (leader)"
		}
		share := 100 * float64(p.processorTime()-before[i]) / float64(window)
		c.t.Logf("idle: %s%s: %.2f %% of a core, %s", p.name, role, share, p.memory())
	}
}

// TestMeasureChanges measures changes over 3 control VMs and 20 entry VMs.
func TestMeasureChanges(t *testing.T) {
	if os.Getenv(envMeasure) == "" {
		t.Skip("set " + envMeasure + " to measure")
	}
	c := newCluster(t, 3, 20)
	c.configure()
	m := newChanger(c)
	m.change(0)
	waitFor(t, "all are registered", func() string {
		resp, err := m.admin(0).GetStatus(context.Background(), &adminpb.GetStatusRequest{})
		if err != nil || len(resp.Entries) < 20 {
			return "too few"
		}
		return ""
	})
	leader := m.leader(0)
	c.idle(leader)
	m.series("calm", leader, 300)
	follower := (leader + 1) % 3
	c.controls[follower].signal(syscall.SIGSTOP)
	m.series("a control VM stopped", leader, 100)
	c.controls[follower].signal(syscall.SIGCONT)
	other := (leader + 2) % 3
	for range 5 {
		leader = m.leader(other)
		if other == leader {
			other = (other + 1) % 3
		}
		c.controls[leader].signal(syscall.SIGSTOP)
		t.Logf("leader stopped: next change accepted after %v", m.change(other))
		c.controls[leader].signal(syscall.SIGCONT)
		time.Sleep(3 * time.Second)
	}
	c.entries[0].signal(syscall.SIGSTOP)
	for range 5 {
		t.Logf("an entry VM stopped: change accepted after %v", m.change(other))
	}
	c.entries[0].signal(syscall.SIGCONT)
}
