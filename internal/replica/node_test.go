package replica

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/storage"
)

func TestGroupReplicatesAndFailsOver(t *testing.T) {
	t.Parallel()
	ctx := testContext(t)
	hosts := startGroup(t, 3, Options{SnapshotEvery: 50})
	first := waitLeader(t, hosts)
	var index uint64
	for i := range 120 {
		_, at, err := first.node.Propose(ctx, fmt.Appendf(nil, "change %d", i))
		assert.NilError(t, err)
		index = at
	}
	read, err := first.node.ConfirmedRead(ctx)
	assert.NilError(t, err)
	assert.Assert(t, read >= index)
	for _, h := range hosts {
		waitApplied(t, h, index)
	}
	rest := others(hosts, first)
	_, _, err = rest[0].node.Propose(ctx, []byte("x"))
	assert.Equal(t, fault.KindOf(err), fault.NotLeader)
	first.stop()
	second := waitLeader(t, rest)
	_, _, err = second.node.Propose(ctx, []byte("after"))
	assert.NilError(t, err)
}

func TestRestartRestoresState(t *testing.T) {
	t.Parallel()
	ctx := testContext(t)
	h := startGroup(t, 1, Options{SnapshotEvery: 10})[0]
	waitLeader(t, []*host{h})
	for i := range 35 {
		_, _, err := h.node.Propose(ctx, fmt.Appendf(nil, "change %d", i))
		assert.NilError(t, err)
	}
	h.stop()
	want := h.machine.rows
	again := h.restart(t, false)
	waitLeader(t, []*host{again})
	_, err := again.node.ConfirmedRead(ctx)
	assert.NilError(t, err)
	again.stop()
	assert.DeepEqual(t, again.machine.rows, want)
}

func TestLostDiskNeedsNewID(t *testing.T) {
	t.Parallel()
	ctx := testContext(t)
	var log events
	hosts := startGroup(t, 3, Options{Events: log.logger()})
	lead := waitLeader(t, hosts)
	_, _, err := lead.node.Propose(ctx, []byte("before"))
	assert.NilError(t, err)
	lost := others(hosts, lead)[0]
	again := lost.restart(t, true)
	log.wait(t, event.ReplicaIDUsed)
	assert.Equal(t, again.node.Status().Role, "forming")
	again.stop()

	l := listen(t)
	opts := lost.opts
	opts.ID, opts.DataDir, opts.Bootstrap, opts.Join = 4, t.TempDir(), nil, true
	fresh := startHost(t, l, opts)
	member := &catalogpb.ControlMember{ReplicaId: 4, Address: l.Addr().String()}
	complete, err := lead.node.AddMember(ctx, member, lost.opts.ID)
	assert.NilError(t, err)
	assert.Assert(t, complete)
	log.wait(t, event.MemberCaughtUp)
	assert.Equal(t, len(lead.node.Status().Members), 3)

	third := others(others(hosts, lead), lost)[0]
	third.stop()
	_, index, err := lead.node.Propose(ctx, []byte("after a second loss"))
	assert.NilError(t, err)
	waitApplied(t, fresh, index)
}

func TestTransferKeepsProposals(t *testing.T) {
	t.Parallel()
	ctx := testContext(t)
	hosts := startGroup(t, 3, Options{})
	lead := waitLeader(t, hosts)
	_, _, err := lead.node.Propose(ctx, []byte("x"))
	assert.NilError(t, err)
	assert.NilError(t, lead.node.TransferLeadership(ctx))
	next := waitLeader(t, others(hosts, lead))
	_, _, err = next.node.Propose(ctx, []byte("y"))
	assert.NilError(t, err)
	err = next.node.RemoveMember(ctx, next.opts.ID)
	assert.Equal(t, fault.KindOf(err), fault.NotLeader)
}

// brokenFS fails to sync once broken is set, and counts syncs.
type brokenFS struct {
	storage.OSFS
	broken atomic.Bool
	syncs  atomic.Int64
}

type brokenFile struct {
	storage.File
	fs *brokenFS
}

func (f *brokenFS) Append(path string) (storage.File, error) {
	file, err := f.OSFS.Append(path)
	return brokenFile{file, f}, err
}

func (f brokenFile) Sync() error {
	f.fs.syncs.Add(1)
	if f.fs.broken.Load() {
		return errors.New("input/output error")
	}
	return f.File.Sync()
}

func TestFailedDiskAcknowledgesNothing(t *testing.T) {
	t.Parallel()
	ctx := testContext(t)
	var log events
	fs := &brokenFS{}
	h := startGroup(t, 1, Options{Events: log.logger(), FS: fs})[0]
	waitLeader(t, []*host{h})
	fs.broken.Store(true)
	_, _, err := h.node.Propose(ctx, []byte("x"))
	assert.Equal(t, fault.KindOf(err), fault.DiskFailed)
	<-h.node.Done()
	log.wait(t, event.DiskFault)
	assert.Assert(t, h.node.Status().Failed)
	assert.Assert(t, !h.node.Status().IsLeader)
}

func TestProposalsShareSyncs(t *testing.T) {
	t.Parallel()
	ctx := testContext(t)
	fs := &brokenFS{}
	h := startGroup(t, 1, Options{FS: fs})[0]
	waitLeader(t, []*host{h})
	before := fs.syncs.Load()
	const calls = 200
	var group conc.WaitGroup
	for range calls {
		group.Go(func() {
			_, _, err := h.node.Propose(ctx, []byte("x"))
			assert.Check(t, err)
		})
	}
	group.Wait()
	assert.Assert(t, fs.syncs.Load()-before < calls)
}

func TestDamagedLogRefusesToStart(t *testing.T) {
	t.Parallel()
	ctx := testContext(t)
	var log events
	h := startGroup(t, 1, Options{Events: log.logger()})[0]
	waitLeader(t, []*host{h})
	_, _, err := h.node.Propose(ctx, []byte("x"))
	assert.NilError(t, err)
	h.stop()
	path := filepath.Join(h.opts.DataDir, "replica.log")
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	data[len(data)/2] ^= 1
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	opts := h.opts
	opts.StateMachine, opts.Transport = h.machine, h.transport
	_, err = Start(opts)
	assert.Assert(t, errors.Is(err, storage.ErrCorrupt))
	log.wait(t, event.LogCorrupt)
}

func TestStoppedReplicaAnswers(t *testing.T) {
	t.Parallel()
	h := startGroup(t, 1, Options{})[0]
	assert.NilError(t, h.node.Stop(context.Background()))
	_, _, err := h.node.Propose(testContext(t), []byte("x"))
	assert.Equal(t, fault.KindOf(err), fault.NoQuorum)
}
