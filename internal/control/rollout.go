package control

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/features"
)

// repeatWindow is the time after the verdict of a roll-out for which the same order
// counts as a repetition. An operator that got no answer repeats an order for four
// seconds, and each attempt takes up to a second.
const repeatWindow = 10 * time.Second

// checkRolloutSupport returns an error that names who runs a build that does not obey
// roll-outs: it would not have the same configuration or would send a new version
// requests.
func (s *Server) checkRolloutSupport() error { return s.supports(features.Rollouts, true) }

// StartRollout commits the order for a roll-out.
func (a *admin) StartRollout(ctx context.Context, req *adminpb.StartRolloutRequest) (*adminpb.StartRolloutResponse, error) {
	order := req.Rollout
	if err := catalog.CheckStartRollout(order); err != nil {
		return nil, fault.ToTwirp(err)
	}
	if !a.server.opts.Rollout.Enabled() {
		return nil, fault.ToTwirp(fault.New(fault.NotFound, "roll-outs are not enabled in the settings of this control VM"))
	}
	ctx = a.server.withOrder(ctx)
	if err := a.awaitAbandon(ctx); err != nil {
		return nil, err
	}
	order.BaseRevision = orderOf(ctx).base
	resp, forwarded, err := forwardToLeader(ctx, a.server, req, adminpb.Admin.StartRollout)
	if forwarded {
		return resp, err
	}
	if err := a.server.checkRolloutSupport(); err != nil {
		return nil, fault.ToTwirp(err)
	}
	if r := a.server.repeatedRollout(order); r != nil {
		// Another leader may have committed a later order.
		if err := a.confirmedRead(ctx); err != nil {
			return nil, fault.ToTwirp(err)
		}
		if r := a.server.repeatedRollout(order); r != nil {
			return &adminpb.StartRolloutResponse{Rollout: r}, nil
		}
	}
	revision, err := a.proposeForRevision(ctx, &catalogpb.Command{Kind: &catalogpb.Command_StartRollout{StartRollout: order}})
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	r := catalog.FindRollout(a.server.catalog.Config(), order.Pool)
	a.server.opts.Log.Log(event.RolloutStarted).Str("pool", order.Pool).Str("target", order.Target).
		Uint64("duration_ms", uint64(order.DurationMs)).Uint64("started_revision", r.GetStartedRevision()).Uint64("revision", revision).Send()
	a.server.awaitShortly(ctx, revision)
	return &adminpb.StartRolloutResponse{Rollout: r}, nil
}

// repeatedRollout returns the roll-out that the order asks for, if that has had its
// verdict within repeatWindow, or nil.
func (s *Server) repeatedRollout(order *catalogpb.StartRollout) *catalogpb.Rollout {
	r := catalog.FindRollout(s.catalog.Config(), order.Pool)
	if !catalog.SameRollout(r, order) || catalog.RolloutUnderWay(r) {
		return nil
	}
	if times, ok := s.stateMachine.rolloutTimes.of(r); !ok || s.now() > times.changedAt+repeatWindow {
		return nil
	}
	return r
}

// GetRollout returns the newest roll-out of a pool after a linearizable read.
func (a *admin) GetRollout(ctx context.Context, req *adminpb.GetRolloutRequest) (*adminpb.GetRolloutResponse, error) {
	resp, forwarded, err := forwardToLeader(ctx, a.server, req, adminpb.Admin.GetRollout)
	if forwarded {
		return resp, err
	}
	if err := a.confirmedRead(ctx); err != nil {
		return nil, fault.ToTwirp(err)
	}
	r := catalog.FindRollout(a.server.catalog.Config(), req.Pool)
	if r == nil {
		return nil, fault.ToTwirp(fault.New(fault.NotFound, "pool %q has had no roll-out", req.Pool))
	}
	resp = &adminpb.GetRolloutResponse{Rollout: r}
	if catalog.RolloutUnderWay(r) {
		resp.Progress = a.server.rolloutProgress(ctx, req.Pool)
	}
	return resp, nil
}

// progressTimeout limits how long an answer waits for the figures of the event loop, which
// are only informative.
const progressTimeout = 100 * time.Millisecond

// rolloutProgress returns the figures of the roll-out that is under way, or "" if the
// event loop does not answer soon.
func (s *Server) rolloutProgress(ctx context.Context, pool string) string {
	ctx, cancel := context.WithTimeout(ctx, progressTimeout)
	defer cancel()
	q := &rolloutQuery{pool: pool, reply: make(chan string, 1)}
	text, _ := query(ctx, s, q, q.reply)
	return text
}

// rolloutReports implements the Rollouts service for gateways.
type rolloutReports struct {
	server *Server
}

// RolloutsHandler returns the handler of the Rollouts service for gateways.
func (s *Server) RolloutsHandler() http.Handler {
	return withForwardedCall(clusterpb.NewRolloutsServer(&rolloutReports{server: s}))
}

// Report passes evidence to the leader. It fails with an error of kind NotLeader if none
// is known; the evidence then comes with the next renewal.
func (h *rolloutReports) Report(ctx context.Context, req *clusterpb.ReportEvidenceRequest) (*clusterpb.ReportEvidenceResponse, error) {
	s := h.server
	st := s.opts.Replica.Status()
	if !st.IsLeader {
		return s.forwardReport(ctx, st.LeaderAddress, req)
	}
	if !s.post(ctx, &evidenceReport{entry: req.Entry, incarnation: req.Incarnation, evidence: req.Evidence}) {
		return nil, fault.ToTwirp(fault.New(fault.Leaving, "the control VM is stopping"))
	}
	return &clusterpb.ReportEvidenceResponse{}, nil
}

// forwardReport forwards a report, once, to the leader.
func (s *Server) forwardReport(ctx context.Context, leader string, req *clusterpb.ReportEvidenceRequest) (*clusterpb.ReportEvidenceResponse, error) {
	_, alreadyForwarded := ctx.Value(forwardedCallKey{}).(forwardedCall)
	if alreadyForwarded || leader == "" {
		return nil, fault.ToTwirp(fault.New(fault.NotLeader, "no leader is known"))
	}
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, http.Header{headerForwarded: []string{"1"}})
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	resp, err := clusterpb.NewRolloutsProtobufClient("http://"+leader, s.opts.Client).Report(ctx, req)
	if err != nil {
		return nil, fault.ToTwirp(fault.FromTwirp(err, fault.NotLeader))
	}
	return resp, nil
}
