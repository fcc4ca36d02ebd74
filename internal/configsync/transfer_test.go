package configsync

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// slowLeader is a transport to a leader that answers renewals with a
// configuration, one piece of the answer at a time.
type slowLeader struct {
	t *testing.T
	// pieces is the number of pieces, pause the time before each of them.
	pieces int
	pause  time.Duration
	// stalls is the number of answers that never arrive beyond their first piece.
	stalls int32
	// transfers counts the answers that contained the configuration.
	transfers atomic.Int32
}

// RoundTrip implements http.RoundTripper.
func (s *slowLeader) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	assert.NilError(s.t, err)
	req := &clusterpb.RenewRequest{}
	assert.NilError(s.t, proto.Unmarshal(body, req))
	resp := &clusterpb.RenewResponse{LeaseMs: 3_000, Revision: 7}
	stalled := false
	if req.Revision < 7 {
		stalled = s.transfers.Add(1) <= s.stalls
		resp.Config = &catalogpb.Config{Revision: 7, StateVersion: 2, Entries: []*catalogpb.Entry{{Id: "e"}}}
	} else {
		select {
		case <-time.After(time.Duration(req.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
	data, err := proto.Marshal(resp)
	assert.NilError(s.t, err)
	return &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{"Content-Type": {"application/protobuf"}},
		Body:       &slowBody{leader: s, request: r, rest: data, piece: max(1, len(data)/s.pieces), stalled: stalled},
	}, nil
}

type slowBody struct {
	leader  *slowLeader
	request *http.Request
	rest    []byte
	piece   int
	stalled bool
	sent    int
}

func (b *slowBody) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	pause := b.leader.pause
	if b.stalled && b.sent > 0 {
		pause = time.Hour
	}
	select {
	case <-time.After(pause):
	case <-b.request.Context().Done():
		return 0, b.request.Context().Err()
	}
	n, err := bytes.NewReader(b.rest[:min(b.piece, len(b.rest))]).Read(p)
	b.rest = b.rest[n:]
	b.sent += n
	return n, err
}

func (*slowBody) Close() error { return nil }

// TestLargeAnswerOnSlowLinkIsReadToItsEnd sends configurations that take longer to
// transfer than a renewal may take to be answered. They must be adopted after one
// transfer; starting over would never end. A transfer that stalls must be given up.
func TestLargeAnswerOnSlowLinkIsReadToItsEnd(t *testing.T) {
	for _, c := range []struct {
		name      string
		pieces    int
		pause     time.Duration
		stalls    int32
		transfers int32
		adoptedBy time.Duration
	}{
		{"fast link", 1, time.Millisecond, 0, 1, 100 * time.Millisecond},
		{"three seconds for one answer", 15, 200 * time.Millisecond, 0, 1, 3500 * time.Millisecond},
		{"connection stops responding during the answer", 4, 10 * time.Millisecond, 1, 2, 2500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				leader := &slowLeader{t: t, pieces: c.pieces, pause: c.pause, stalls: c.stalls}
				s := New(Options{
					Entry: &catalogpb.Entry{Id: "e"}, ControlAddresses: []string{"control"}, ServesStale: true, Client: &http.Client{Transport: leader},
				})
				done := make(chan struct{})
				ctx, cancel := context.WithCancel(t.Context())
				go func() {
					s.Run(ctx)
					close(done)
				}()
				defer func() {
					cancel()
					<-done
				}()
				time.Sleep(c.adoptedBy)
				assert.Assert(t, s.View() != nil, "not adopted after %s and %d transfers", c.adoptedBy, leader.transfers.Load())
				assert.Equal(t, s.View().Revision(), uint64(7))
				assert.Equal(t, leader.transfers.Load(), c.transfers)
			})
		})
	}
}

// suspendingLeader is a transport to a leader that answers renewals at once. The VM
// of the entry VM is suspended before the given answer arrives, which is the last.
type suspendingLeader struct {
	t    *testing.T
	last int
	// suspended is the time for which the VM was suspended.
	suspended atomic.Int64
	answers   int
	ended     chan struct{}
}

// RoundTrip implements http.RoundTripper.
func (l *suspendingLeader) RoundTrip(r *http.Request) (*http.Response, error) {
	l.answers++
	if l.answers > l.last {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if l.answers == l.last {
		l.suspended.Store(int64(suspension))
		defer close(l.ended)
	}
	data, err := proto.Marshal(&clusterpb.RenewResponse{
		LeaseMs: 3_000, Revision: 7, Config: &catalogpb.Config{Revision: 7, StateVersion: 2, Entries: []*catalogpb.Entry{{Id: "e"}}},
	})
	assert.NilError(l.t, err)
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"application/protobuf"}}, Body: io.NopCloser(bytes.NewReader(data)),
	}, nil
}

// suspension is longer than an answer may be held.
const suspension = 1400 * time.Millisecond

// TestSuspensionCountsAsAge suspends a VM, whose monotonic clock stands still
// meanwhile, before the answer to a renewal arrives. The answer must not count as
// one that was requested after the suspension.
func TestSuspensionCountsAsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader := &suspendingLeader{t: t, last: 3, ended: make(chan struct{})}
		s := New(Options{Entry: &catalogpb.Entry{Id: "e"}, ControlAddresses: []string{"control"}, ServesStale: true, Client: &http.Client{Transport: leader}})
		s.bootTime = func() time.Duration { return s.now() + time.Duration(leader.suspended.Load()) }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			s.Run(ctx)
			close(done)
		}()
		<-leader.ended
		synctest.Wait()
		assert.Assert(t, s.SinceNewest() >= suspension, "%s", s.SinceNewest())
		cancel()
		<-done
	})
}
