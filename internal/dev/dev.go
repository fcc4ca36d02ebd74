// Package dev runs a complete small system in one process for development: a
// control replica, an entry VM and simulated upstreams of a demo service.
package dev

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"

	"balsamcourse.example/balsamcourse/internal/cli"
	"balsamcourse.example/balsamcourse/internal/controlvm"
	"balsamcourse.example/balsamcourse/internal/entryvm"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/testbed"
)

// Configuration of the demo system.
const (
	zone          = "local-a"
	region        = "local"
	demoSlots     = 4
	demoWarmAfter = 8
	lookupTTLMs   = 500
	drainMs       = 5_000
)

// Run runs the system until plannedStop is closed or ctx ends. It returns an
// error if the data directory, the log or a part of the system fails.
func Run(ctx context.Context, plannedStop <-chan struct{}, o cli.DevOptions) error {
	dir, cleanup, err := dataDir(o.DataDir)
	if err != nil {
		return errors.Trace(err)
	}
	defer cleanup()
	addresses, err := freeAddresses(2, o)
	if err != nil {
		return errors.Trace(err)
	}
	control := controlSettings(o, dir, addresses[0])
	entry := entrySettings(o, addresses[0], addresses[1])
	logPath := filepath.Join(dir, "events.log")
	logFile, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = logFile.Close() }()

	// The control VM stops after the entry VM, which needs it to complete its
	// planned stop.
	entryStopped := make(chan struct{})
	// A part that fails ends the others: without it they would wait for each other.
	p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	p.Go(func(ctx context.Context) error {
		err := controlvm.Run(ctx, entryStopped, control, controlvm.Options{Logs: logFile})
		return errors.Annotate(err, "control replica")
	})
	p.Go(func(ctx context.Context) error {
		defer close(entryStopped)
		return errors.Annotate(entryvm.Run(ctx, plannedStop, entry, entryvm.Options{Logs: logFile}), "entry VM")
	})
	p.Go(func(ctx context.Context) error {
		return errors.Annotate(runDemoService(ctx, plannedStop, o, logPath), "demo service")
	})
	return errors.Trace(p.Wait())
}

// freeAddresses returns n free addresses other than those of the options, which are
// free as well until the parts listen on them.
func freeAddresses(n int, o cli.DevOptions) ([]string, error) {
	given := []string{o.CallerListen, o.OperatorListen, o.AnnounceListen, o.MetricsListen}
	free, err := testbed.FreeAddresses(n + len(given))
	free = slices.DeleteFunc(free, func(address string) bool { return slices.Contains(given, address) })
	return free, err
}

// runDemoService configures the demo service and runs its upstreams until
// plannedStop is closed or ctx ends.
func runDemoService(ctx context.Context, plannedStop <-chan struct{}, o cli.DevOptions, logPath string) error {
	if err := createDemoService(ctx, plannedStop, o); err != nil {
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
	fmt.Fprintf(o.Out, "callers    http://%s\noperators  http://%s\nlog        %s\n", o.CallerListen, o.OperatorListen, logPath)
	fmt.Fprintf(o.Out, "try        curl http://%s/demo/hello\n", o.CallerListen)
	select {
	case <-ctx.Done():
	case <-plannedStop:
	}
	return nil
}

// dataDir returns the directory for state and the log, and a function that
// removes it if it is temporary. An empty dir means a temporary directory.
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
	s.LookupTTLMs = lookupTTLMs
	s.DrainMs = drainMs
	s.Log.Level = o.LogLevel
	s.AuthDisabled = true
	return s
}
