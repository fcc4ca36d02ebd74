package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/balance"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/retry"
	"balsamcourse.example/balsamcourse/internal/settings"
)

// BenchmarkAcquirePermit measures a permit from another gateway over loopback: the
// time at both ends and the bytes of the bodies.
func BenchmarkAcquirePermit(b *testing.B) {
	cfg := newConfig(&fakeUpstream{id: "i-07e9abfc7e", address: "10.0.0.1:80"})
	st := newState("g1", "a", 1, retry.Limits{})
	st.applyConfig(configview.New(cfg))
	st.issuePermits()
	st.balancer.RecordLimit("i-07e9abfc7e", balance.ProbeAnswer, balance.RateLimit{Known: true, Named: true, PerSecond: 1e9})
	server := httptest.NewServer(clusterpb.NewPermitsServer(&permitServer{state: st}))
	defer server.Close()
	client := clusterpb.NewPermitsProtobufClient(server.URL, http.DefaultClient)
	req := &clusterpb.AcquirePermitRequest{Entry: "edge-jm-south-a-1", Upstream: "i-07e9abfc7e", Units: 2, Rate: st.upstreamRate("i-07e9abfc7e")}
	var resp *clusterpb.AcquirePermitResponse
	for b.Loop() {
		var err error
		if resp, err = client.Acquire(b.Context(), req); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(proto.Size(req)+proto.Size(resp)), "body-bytes/op")
}

// BenchmarkTakeAllotment measures permits of an allotment from another gateway over
// loopback: the time at both ends and the bytes of the bodies.
func BenchmarkTakeAllotment(b *testing.B) {
	cfg := newConfig()
	cfg.Organisations = []*catalogpb.Organisation{{Name: "organisation-17", RatePerS: 1e9}}
	st := newState("g1", "a", 1, retry.Limits{})
	st.applyConfig(configview.New(cfg))
	st.issuePermits()
	st.setAllotmentBounds(settings.DefaultGateway().Allotment.Bounds())
	st.allotments.update(cfg)
	server := httptest.NewServer(clusterpb.NewAllotmentsServer(&allotmentServer{state: st}))
	defer server.Close()
	client := clusterpb.NewAllotmentsProtobufClient(server.URL, http.DefaultClient)
	req := &clusterpb.TakeAllotmentRequest{Entry: "edge-jm-south-a-1", Organisation: "organisation-17", Shard: 0, Units: 1, DemandPerS: 0.86, StateVersion: 7}
	var resp *clusterpb.TakeAllotmentResponse
	for b.Loop() {
		var err error
		if resp, err = client.Take(b.Context(), req); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(proto.Size(req)+proto.Size(resp)), "body-bytes/op")
}
