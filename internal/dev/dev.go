// Package dev runs a whole small system in one process: a control replica, an
// entry VM and stand-in upstreams of a demo service.
package dev

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"

	"balsamcourse.example/balsamcourse/internal/cli"
	"balsamcourse.example/balsamcourse/internal/controld"
	"balsamcourse.example/balsamcourse/internal/entryd"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/testbed"
)

// The demo system.
const (
	zone          = "local-a"
	region        = "local"
	demoSlots     = 4
	demoWarmAfter = 8
	lookupTTL     = 500
	drain         = 5_000
)

// Run runs the system until planned is closed or ctx ends.
func Run(ctx context.Context, planned <-chan struct{}, o cli.DevOptions) error {
	dir, cleanup, err := dataDir(o.DataDir)
	if err != nil {
		return errors.Trace(err)
	}
	defer cleanup()
	addresses, err := testbed.FreeAddresses(3)
	if err != nil {
		return errors.Trace(err)
	}
	control := controlSettings(o, dir, addresses[0])
	entry := entrySettings(o, addresses[0], addresses[1])
	logs := filepath.Join(dir, "events.log")
	file, err := os.OpenFile(logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = file.Close() }()

	// The control VM outlives the entry VM, which hands over to it.
	entryGone := make(chan struct{})
	p := pool.New().WithErrors()
	p.Go(func() error { return controld.Run(ctx, entryGone, control, controld.Options{Logs: file}) })
	p.Go(func() error {
		defer close(entryGone)
		return entryd.Run(ctx, planned, entry, entryd.Options{Logs: file})
	})
	p.Go(func() error { return demo(ctx, planned, o, logs) })
	return errors.Trace(p.Wait())
}

// demo configures the demo service and runs its upstreams.
func demo(ctx context.Context, planned <-chan struct{}, o cli.DevOptions, logs string) error {
	if err := configure(ctx, planned, o.OperatorListen); err != nil {
		return errors.Trace(err)
	}
	for i := range o.Upstreams {
		u, err := testbed.StartUpstream(testbed.UpstreamOptions{
			Service:           "demo",
			Zone:              zone,
			ID:                fmt.Sprintf("upstream-%d", i+1),
			Slots:             demoSlots,
			ColdSlots:         1,
			WarmAfter:         demoWarmAfter,
			ServiceTime:       func(*rand.Rand) time.Duration { return time.Millisecond },
			AnnounceAddresses: []string{o.AnnounceListen},
			Seed:              uint64(i),
		})
		if err != nil {
			return errors.Trace(err)
		}
		defer u.Kill()
	}
	fmt.Fprintf(o.Out, "callers    http://%s\noperators  http://%s\nlog        %s\n", o.CallerListen, o.OperatorListen, logs)
	fmt.Fprintf(o.Out, "try        curl http://%s/demo/hello\n", o.CallerListen)
	select {
	case <-ctx.Done():
	case <-planned:
	}
	return nil
}

func dataDir(dir string) (string, func(), error) {
	if dir != "" {
		return dir, func() {}, os.MkdirAll(dir, 0o700)
	}
	tmp, err := os.MkdirTemp("", "balsamcourse-dev")
	return tmp, func() { _ = os.RemoveAll(tmp) }, err
}

func controlSettings(o cli.DevOptions, dir, cluster string) settings.Control {
	s := settings.DefaultControl()
	s.ID = 1
	s.Zone = zone
	s.DataDir = filepath.Join(dir, "control")
	s.ClusterListen = cluster
	s.ClusterAddress = cluster
	s.OperatorListen = o.OperatorListen
	s.Members = []settings.Member{{ID: 1, Address: cluster, Zone: zone}}
	s.Log.Level = o.LogLevel
	s.AuthDisabled = true
	return s
}

func entrySettings(o cli.DevOptions, control, cluster string) settings.Entry {
	s := settings.DefaultEntry()
	s.ID = "entry-1"
	s.Zone = zone
	s.Region = region
	s.CallerListen = o.CallerListen
	s.CallerAddress = o.CallerListen
	s.AnnounceListen = o.AnnounceListen
	s.AnnounceAddress = o.AnnounceListen
	s.ClusterListen = cluster
	s.ClusterAddress = cluster
	s.MetricsListen = o.MetricsListen
	s.Control = []string{control}
	s.LookupTTLMs = lookupTTL
	s.DrainMs = drain
	s.Log.Level = o.LogLevel
	s.AuthDisabled = true
	return s
}
