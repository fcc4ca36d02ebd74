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

// releaseTimeout limits the calls to all entry VMs.
const releaseTimeout = time.Second

// operatorOriginPrefix begins the Entry field of a report that was issued by an
// operator instead of an entry VM.
const operatorOriginPrefix = "operator/"

// ReleaseQuarantine tells all entry VMs that a quarantined request may run
// again. It fails only if none could be reached, because entry VMs gossip the
// release to each other.
func (a *admin) ReleaseQuarantine(ctx context.Context, req *adminpb.ReleaseQuarantineRequest) (*adminpb.ReleaseQuarantineResponse, error) {
	release := &clusterpb.CrashReport{
		Service:     req.Service,
		Fingerprint: req.Fingerprint,
		Entry:       operatorOriginPrefix + a.server.operator(ctx),
		Sequence:    uint64(time.Now().UnixNano()),
		Released:    true,
	}
	if a.server.sendReportToEntries(ctx, release) == 0 {
		return nil, fault.ToTwirp(fault.New(fault.NoDispatcher, "no entry VM accepted the release"))
	}
	return &adminpb.ReleaseQuarantineResponse{}, nil
}

// sendReportToEntries sends the report to all registered entry VMs and returns
// how many received it.
func (s *Server) sendReportToEntries(ctx context.Context, r *clusterpb.CrashReport) int {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	delivered := pool.NewWithResults[int]()
	for _, e := range s.catalog.Config().Entries {
		delivered.Go(func() int { return s.sendReport(ctx, e, r) })
	}
	sum := 0
	for _, n := range delivered.Wait() {
		sum += n
	}
	return sum
}

func (s *Server) sendReport(ctx context.Context, e *catalogpb.Entry, r *clusterpb.CrashReport) int {
	c := clusterpb.NewGossipProtobufClient("http://"+e.ClusterAddress, s.opts.Client)
	_, err := c.Exchange(ctx, &clusterpb.ExchangeRequest{Crashes: []*clusterpb.CrashReport{r}})
	if err != nil {
		return 0
	}
	return 1
}
