package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/settings"
)

// fakeAdmin is an Admin service whose Apply returns a fixed response or error and
// records the requests.
type fakeAdmin struct {
	adminpb.Admin
	resp     *adminpb.ApplyResponse
	err      error
	requests []*adminpb.ApplyRequest
}

func (f *fakeAdmin) Apply(_ context.Context, req *adminpb.ApplyRequest) (*adminpb.ApplyResponse, error) {
	f.requests = append(f.requests, req)
	if f.err != nil {
		return nil, fault.ToTwirp(f.err)
	}
	return f.resp, nil
}

func (f *fakeAdmin) serve(t *testing.T) string {
	t.Helper()
	return serveAdmin(t, f)
}

// serveAdmin serves the service and returns its address.
func serveAdmin(t *testing.T, a adminpb.Admin) string {
	t.Helper()
	srv := httptest.NewServer(adminpb.NewAdminServer(a))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

func acceptedResponse() *adminpb.ApplyResponse {
	return &adminpb.ApplyResponse{
		Result:   &catalogpb.ChangeResult{Outcome: catalogpb.ChangeOutcome_CHANGE_OUTCOME_APPLIED, Revision: 9, OperatorRevision: 2},
		Accepted: true,
	}
}

func runCommandLine(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = Execute(context.Background(), args, Daemons{}, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func TestEveryCommandHasAShortDescriptionAndAnExample(t *testing.T) {
	var walk func(cmd *cobra.Command)
	walk = func(cmd *cobra.Command) {
		assert.Assert(t, cmd.Short != "", cmd.CommandPath())
		assert.Assert(t, strings.Contains(cmd.Example, "balsamcourse"), cmd.CommandPath())
		for _, child := range cmd.Commands() {
			walk(child)
		}
	}
	walk(newRoot(&environment{}))
}

func TestExitCodeFollowsTheKindOfError(t *testing.T) {
	invalidFile := filepath.Join(t.TempDir(), "bad.toml")
	assert.NilError(t, os.WriteFile(invalidFile, []byte("no_such_key = 1\n"), 0o600))
	cases := []struct {
		name string
		args []string
		want int
	}{
		{"version", []string{"version"}, fault.ExitOK},
		{"unknown command", []string{"no-such-command"}, fault.ExitUsage},
		{"unknown flag", []string{"version", "--no-such-flag"}, fault.ExitUsage},
		{"missing argument", []string{"admin", "zone", "take-out"}, fault.ExitUsage},
		{"bad output", []string{"version", "--output", "xml"}, fault.ExitUsage},
		{"bad settings", []string{"settings", "check", "--role", "entry", invalidFile}, fault.ExitSettings},
		{"daemon with bad settings", []string{"entry", "--settings", invalidFile}, fault.ExitSettings},
		{"unknown role", []string{"settings", "check", "--role", "no-such-role", invalidFile}, fault.ExitUsage},
		{"unknown chart", []string{"charts", "no-such-chart"}, fault.ExitRefused},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			code, _, errOut := runCommandLine(tc.args...)
			assert.Equal(t, code, tc.want, errOut)
		})
	}
}

func TestExitCodeFollowsTheOutcomeOfAChange(t *testing.T) {
	outcome := func(o catalogpb.ChangeOutcome) *adminpb.ApplyResponse {
		return &adminpb.ApplyResponse{Result: &catalogpb.ChangeResult{Outcome: o, Detail: "why"}}
	}
	cases := []struct {
		name string
		resp *adminpb.ApplyResponse
		err  error
		want int
	}{
		{"accepted", acceptedResponse(), nil, fault.ExitOK},
		{"committed only", outcome(catalogpb.ChangeOutcome_CHANGE_OUTCOME_APPLIED), nil, fault.ExitUnavailable},
		{"conflict", outcome(catalogpb.ChangeOutcome_CHANGE_OUTCOME_CONFLICT), nil, fault.ExitConflict},
		{"stale", outcome(catalogpb.ChangeOutcome_CHANGE_OUTCOME_STALE), nil, fault.ExitConflict},
		{"invalid", outcome(catalogpb.ChangeOutcome_CHANGE_OUTCOME_INVALID), nil, fault.ExitRefused},
		{"refused", nil, fault.New(fault.Unauthorized, "no"), fault.ExitRefused},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := &fakeAdmin{resp: tc.resp, err: tc.err}
			code, _, errOut := runCommandLine("admin", "zone", "take-out", "z", "--control", f.serve(t))
			assert.Equal(t, code, tc.want, errOut)
		})
	}
}

func TestChangeIsSentWithItsOperatorNumberAndFlags(t *testing.T) {
	key := filepath.Join(t.TempDir(), "ops.key")
	assert.NilError(t, os.WriteFile(key, []byte("ann 0123456789abcdef\n"), 0o600))
	f := &fakeAdmin{resp: acceptedResponse()}
	code, out, errOut := runCommandLine("admin", "service", "put", "booking", "--path-prefix", "/booking", "--slots", "2",
		"--control", f.serve(t), "--key-file", key, "--number", "77", "--expect-revision", "4", "--dry-run", "--output", "json")
	assert.Equal(t, code, fault.ExitOK, errOut)
	assert.Assert(t, strings.Contains(errOut, "operator ann number 77"))
	var resp map[string]any
	assert.NilError(t, json.Unmarshal([]byte(out), &resp))
	req := f.requests[0]
	assert.Equal(t, req.Change.Id.Operator, "ann")
	assert.Equal(t, req.Change.Id.Number, uint64(77))
	assert.Equal(t, req.Change.ExpectedOperatorRevision, uint64(4))
	assert.Equal(t, req.Change.Change.GetPutService().Slots, uint32(2))
	assert.Assert(t, req.DryRun)
}

func TestChangeKeepsItsNumberWhenSentToAnotherControlVM(t *testing.T) {
	follower := &fakeAdmin{err: fault.New(fault.NotLeader, "ask 2")}
	leader := &fakeAdmin{resp: acceptedResponse()}
	stoppedServer := httptest.NewServer(nil)
	stoppedServer.Close()
	addresses := strings.Join([]string{stoppedServer.Listener.Addr().String(), follower.serve(t), leader.serve(t)}, ",")
	code, _, errOut := runCommandLine("admin", "zone", "bring-back", "z", "--control", addresses)
	assert.Equal(t, code, fault.ExitOK, errOut)
	assert.Equal(t, follower.requests[0].Change.Id.Number, leader.requests[0].Change.Id.Number)
}

func TestEntryCommandPassesTheSettingsFromItsFile(t *testing.T) {
	var got settings.Entry
	d := Daemons{Entry: func(_ context.Context, plannedStop <-chan struct{}, s settings.Entry) error {
		assert.Assert(t, plannedStop != nil)
		got = s
		return fault.New(fault.Settings, "stop here")
	}}
	var out bytes.Buffer
	code := Execute(context.Background(), []string{"entry", "--settings", "../../settings/entry.sample.toml"}, d, &out, &out)
	assert.Equal(t, code, fault.ExitSettings)
	assert.Equal(t, got.ID, "entry-a1")
}
