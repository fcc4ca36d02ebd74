package cli

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// fakeStatus is an Admin service with a fixed status that records removals.
type fakeStatus struct {
	adminpb.Admin
	status  *adminpb.GetStatusResponse
	removed []*adminpb.RemoveEntryRequest
}

func (f *fakeStatus) GetStatus(context.Context, *adminpb.GetStatusRequest) (*adminpb.GetStatusResponse, error) {
	return f.status, nil
}

func (f *fakeStatus) RemoveEntry(_ context.Context, req *adminpb.RemoveEntryRequest) (*adminpb.RemoveEntryResponse, error) {
	f.removed = append(f.removed, req)
	return &adminpb.RemoveEntryResponse{}, nil
}

// TestStatusSaysWhyRevisionIsNotAccepted shows an entry VM that is gone, and the command
// that removes it.
func TestStatusSaysWhyRevisionIsNotAccepted(t *testing.T) {
	f := &fakeStatus{status: &adminpb.GetStatusResponse{
		Revision: 7, AcceptedRevision: 5, UnacceptedMs: 25_000, Build: "abc",
		Entries: []*adminpb.EntryStatus{
			{Id: "e1", ClusterAddress: "old:1", AcknowledgedRevision: 5, LastHeardMs: 25_000},
			{Id: "e2", ClusterAddress: "other:1", AcknowledgedRevision: 7, Revision: 7, Live: true, Build: "abc"},
			{Id: "e3", ClusterAddress: "third:1", AcknowledgedRevision: 6, SupersededBy: "new:1"},
		},
	}}
	keys := filepath.Join(t.TempDir(), "operators.keys")
	assert.NilError(t, os.WriteFile(keys, []byte("tester operator-key-0123456789\n"), 0o600))
	server := serveAdmin(t, f)
	run := func(args ...string) string {
		code, out, errOut := runCommandLine(append(append([]string{"admin"}, args...), "--control", server, "--key-file", keys)...)
		assert.Equal(t, code, fault.ExitOK, errOut)
		return out
	}
	out := run("status")
	for _, want := range []string{
		"revision 7, accepted revision 5, build abc", "since 25000 ms",
		"e1 at old:1 has acknowledged revision 5 and is silent for 25000 ms", "admin entry remove e1 --ended",
		"e3 at third:1 has acknowledged revision 6; a process at new:1 reports under its ID",
	} {
		assert.Assert(t, strings.Contains(out, want), "%q is missing in:\n%s", want, out)
	}
	assert.Assert(t, !strings.Contains(out, "e2 at other:1 has acknowledged"), out)
	run("entry", "remove", "e1", "--ended")
	run("entry", "remove", "e1")
	assert.Equal(t, len(f.removed), 2)
	assert.Assert(t, f.removed[0].Ended && !f.removed[1].Ended)
}
