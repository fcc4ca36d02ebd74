package control

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// releaseTimeout bounds the call to one entry VM.
const releaseTimeout = time.Second

// releaseOrigin prefixes the origin of reports that come from an operator.
const releaseOrigin = "operator/"

// ReleaseQuarantine tells every entry VM that the request may run again. It
// fails only when none could be told: entry VMs pass the release on.
func (a *admin) ReleaseQuarantine(ctx context.Context, req *adminpb.ReleaseQuarantineRequest) (*adminpb.ReleaseQuarantineResponse, error) {
	release := &clusterpb.CrashReport{
		Service:     req.Service,
		Fingerprint: req.Fingerprint,
		Entry:       releaseOrigin + a.server.operator(ctx),
		Sequence:    uint64(time.Now().UnixNano()),
		Released:    true,
	}
	if a.server.tellEntries(ctx, release) == 0 {
		return nil, fault.ToTwirp(fault.New(fault.NoDispatcher, "no entry VM answered"))
	}
	return &adminpb.ReleaseQuarantineResponse{}, nil
}

// tellEntries sends the report to all registered entry VMs and returns how many
// took it.
func (s *Server) tellEntries(ctx context.Context, r *clusterpb.CrashReport) int {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	told := pool.NewWithResults[int]()
	for _, e := range s.catalog.Config().Entries {
		told.Go(func() int { return s.tellEntry(ctx, e, r) })
	}
	sum := 0
	for _, n := range told.Wait() {
		sum += n
	}
	return sum
}

func (s *Server) tellEntry(ctx context.Context, e *catalogpb.Entry, r *clusterpb.CrashReport) int {
	c := clusterpb.NewGossipProtobufClient("http://"+e.ClusterAddress, s.opts.Client)
	_, err := c.Exchange(ctx, &clusterpb.ExchangeRequest{Crashes: []*clusterpb.CrashReport{r}})
	if err != nil {
		return 0
	}
	return 1
}
