package experiment

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/controlvm"
	"balsamcourse.example/balsamcourse/internal/entryvm"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/testbed"
)

const (
	changeTimeout      = 2 * time.Second
	maxChangeAttempts  = 40
	retryInterval      = 250 * time.Millisecond
	readyTimeout       = 60 * time.Second
	entriesPerUpstream = 3
	// Upstreams are warmed up at a low load before measurements start.
	warmUpLoad      = 0.35
	warmUpDuration  = 6 * time.Second
	maxWarmUpRounds = 3
)

// system is a running deployment with one dispatch policy. operatorAddress and
// controlAddress belong to the control VM, callerAddresses and announceAddresses
// to the entry VMs.
type system struct {
	deployment        Deployment
	network           *network
	dir               string
	operatorAddress   string
	controlAddress    string
	callerAddresses   []string
	announceAddresses []string
	admin             adminpb.Admin
	lastChangeNumber  uint64
	upstreams         []*testbed.Upstream
	upstreamZones     map[string]string
	slotLosses        slotLossCounter
	cancel            context.CancelFunc
	wg                conc.WaitGroup
	client            *http.Client
}

// start starts a deployment with a dispatch policy, waits until it serves calls
// and warms up the upstreams. draw returns random service times.
func start(ctx context.Context, d Deployment, policy string, draw func(*rand.Rand) time.Duration) (*system, error) {
	dir, err := os.MkdirTemp("", "balsamcourse-experiment")
	if err != nil {
		return nil, errors.Trace(err)
	}
	run, cancel := context.WithCancel(ctx)
	s := &system{
		deployment: d, network: newNetwork(), dir: dir, cancel: cancel,
		upstreamZones: make(map[string]string),
		client:        &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: callTimeout},
	}
	if err := s.startComponents(run, policy, draw); err != nil {
		s.stop()
		return nil, errors.Trace(err)
	}
	return s, nil
}

func (s *system) startComponents(ctx context.Context, policy string, draw func(*rand.Rand) time.Duration) error {
	ports, err := testbed.FreeAddresses(2 + 3*s.deployment.Entries)
	if err != nil {
		return errors.Trace(err)
	}
	s.controlAddress, s.operatorAddress = ports[0], ports[1]
	s.wg.Go(func() { _ = controlvm.Run(ctx, ctx.Done(), s.controlSettings(), controlvm.Options{Logs: io.Discard}) })
	for i := range s.deployment.Entries {
		e := s.entrySettings(i, policy, ports[2+3*i:5+3*i])
		opts := entryvm.Options{
			Logs:         &s.slotLosses,
			DialPeer:     s.network.dialer(e.Zone, false),
			DialUpstream: s.network.dialer(e.Zone, true),
		}
		s.wg.Go(func() { _ = entryvm.Run(ctx, nil, e, opts) })
	}
	s.admin = adminpb.NewAdminProtobufClient("http://"+s.operatorAddress, http.DefaultClient)
	if err := s.configure(ctx); err != nil {
		return errors.Trace(err)
	}
	if err := s.startUpstreams(draw); err != nil {
		return errors.Trace(err)
	}
	if err := s.waitUntilReady(ctx); err != nil {
		return errors.Trace(err)
	}
	return s.warmUp(ctx)
}

// warmUp sends calls until no upstream is in cold start.
func (s *system) warmUp(ctx context.Context) error {
	for range maxWarmUpRounds {
		if _, err := s.load(ctx, warmUpLoad, warmUpDuration, 0); err != nil {
			return errors.Trace(err)
		}
		if !slices.ContainsFunc(s.upstreams, (*testbed.Upstream).Cold) {
			return nil
		}
	}
	return errors.Errorf("upstreams are still cold after %d warm-up rounds of %v", maxWarmUpRounds, warmUpDuration)
}

func (s *system) controlSettings() settings.Control {
	c := settings.DefaultControl()
	c.ID = 1
	c.Zone = s.deployment.Zones[0]
	c.DataDir = filepath.Join(s.dir, "control")
	c.ClusterListen, c.ClusterAddress = s.controlAddress, s.controlAddress
	c.OperatorListen = s.operatorAddress
	c.Members = []settings.Member{{ID: 1, Address: s.controlAddress, Zone: c.Zone}}
	c.AuthDisabled = true
	return c
}

func (s *system) entrySettings(i int, policy string, ports []string) settings.Entry {
	e := settings.DefaultEntry()
	e.ID = fmt.Sprintf("entry-%02d", i)
	e.Zone = s.deployment.Zones[i%len(s.deployment.Zones)]
	e.Region = "local"
	e.CallerListen, e.CallerAddress = ports[0], ports[0]
	e.AnnounceListen, e.AnnounceAddress = ports[1], ports[1]
	e.ClusterListen, e.ClusterAddress = ports[2], ports[2]
	e.Control = []string{s.controlAddress}
	e.DispatchPolicy = policy
	e.Limits.MaxInFlight = 1 << 14
	e.Trace.Exporter = "off"
	e.AuthDisabled = true
	s.network.setZone(ports[2], e.Zone)
	s.callerAddresses = append(s.callerAddresses, ports[0])
	s.announceAddresses = append(s.announceAddresses, ports[1])
	return e
}

func (s *system) configure(ctx context.Context) error {
	for _, z := range s.deployment.Zones {
		zone := &catalogpb.Zone{Name: z, Region: "local", State: catalogpb.ZoneState_ZONE_STATE_IN}
		if err := s.applyChange(ctx, &catalogpb.Change{Kind: &catalogpb.Change_PutZone{PutZone: zone}}); err != nil {
			return errors.Trace(err)
		}
	}
	service := &catalogpb.Service{
		Name: s.deployment.Service, PathPrefix: "/" + s.deployment.Service, Slots: uint32(s.deployment.Slots), ColdSlots: coldSlots, WarmAfter: warmAfter,
		ProbeBudgetPermille: probeBudgetPermille, ProbePath: "/healthz", ProbeCostMs: uint32(probeCost.Milliseconds()),
		QueueLimit: 400, TimeoutMs: uint32(callTimeout.Milliseconds()),
	}
	if err := s.applyChange(ctx, &catalogpb.Change{Kind: &catalogpb.Change_PutService{PutService: service}}); err != nil {
		return errors.Trace(err)
	}
	rule := &catalogpb.Rule{Service: s.deployment.Service, Name: "read", Method: "GET", PathPattern: "/*path", Repeatable: true}
	return s.applyChange(ctx, &catalogpb.Change{Kind: &catalogpb.Change_PutRule{PutRule: rule}})
}

// applyChange applies an operator's change. It retries with the same change id,
// since the control VM may not be reachable yet.
func (s *system) applyChange(ctx context.Context, change *catalogpb.Change) error {
	s.lastChangeNumber++
	id := &catalogpb.ChangeID{Operator: "experiment", Number: s.lastChangeNumber}
	var last error
	for range maxChangeAttempts {
		limited, cancel := context.WithTimeout(ctx, changeTimeout)
		_, err := s.admin.Apply(limited, &adminpb.ApplyRequest{Change: &catalogpb.OperatorChange{Id: id, Change: change}})
		cancel()
		if err == nil {
			return nil
		}
		last = err
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-time.After(retryInterval):
		}
	}
	return errors.Annotatef(last, "apply configuration change in %d attempts", maxChangeAttempts)
}

func (s *system) startUpstreams(draw func(*rand.Rand) time.Duration) error {
	for i := range s.deployment.Upstreams {
		zone := s.deployment.Zones[i%len(s.deployment.Zones)]
		var entries []string
		for k := range entriesPerUpstream {
			entries = append(entries, s.announceAddresses[(i+k*7)%len(s.announceAddresses)])
		}
		u, err := testbed.StartUpstream(testbed.UpstreamOptions{
			Service: s.deployment.Service, Zone: zone, ID: fmt.Sprintf("up-%02d", i),
			Slots: s.deployment.Slots, ColdSlots: coldSlots, WarmAfter: warmAfter, QueueLimit: s.deployment.Connections,
			ProbeTime: probeCost, ServiceTime: draw, AnnounceAddresses: entries, AnnounceInterval: 500 * time.Millisecond,
			LoadReportDelay: time.Second, Seed: uint64(i + 1),
		})
		if err != nil {
			return errors.Trace(err)
		}
		s.upstreams = append(s.upstreams, u)
		s.upstreamZones[u.ID()] = zone
		s.network.setZone(u.Address(), zone)
	}
	return nil
}

// waitUntilReady sends a call through each entry VM until it succeeds.
func (s *system) waitUntilReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, caller := range s.callerAddresses {
		for !s.call(ctx, caller) {
			if time.Now().After(deadline) {
				return errors.Timeoutf("waiting %v for a call through entry VM %s", readyTimeout, caller)
			}
			time.Sleep(retryInterval)
		}
	}
	return nil
}

// call reports whether a call through the entry VM at caller succeeds.
func (s *system) call(ctx context.Context, caller string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+caller+"/"+s.deployment.Service+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

func (s *system) stop() {
	s.cancel()
	s.wg.Wait()
	for _, u := range s.upstreams {
		u.Kill()
	}
	s.client.CloseIdleConnections()
	_ = os.RemoveAll(s.dir)
}
