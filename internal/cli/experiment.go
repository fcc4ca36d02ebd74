package cli

import (
	"context"
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"balsamcourse.example/balsamcourse/internal/experiment"
	"balsamcourse.example/balsamcourse/internal/settings"
)

// experimentOptions holds the flags of the experiment command.
type experimentOptions struct {
	plan        experiment.Plan
	deployments []string
	faults      []string
	json        string
	added       bool
}

func newExperiment(c *command) *cobra.Command {
	var o experimentOptions
	cmd := &cobra.Command{
		Use:   "experiment",
		Short: "Compare the dispatch policies on loopback",
		Long: `Compare the dispatch policies over the real path: control, entry VMs and
stand-in upstreams of a deployment's size in one process. Writes a Markdown table.`,
		Args:    cobra.NoArgs,
		Example: "  balsamcourse load experiment --deployment montego --loads 0.85 --faults straggler",
		RunE: withKind(func(cmd *cobra.Command, _ []string) error {
			return o.run(cmd.Context(), c)
		}),
	}
	f := cmd.Flags()
	f.StringSliceVar(&o.deployments, "deployment", []string{"montego", "guild"}, "montego, guild")
	f.StringSliceVar(&o.plan.Policies, "policy",
		[]string{settings.PolicyRandom, settings.PolicyP2C, settings.PolicyP2CShared, settings.PolicyCell}, "policies to compare")
	f.Float64SliceVar(&o.plan.Loads, "loads", []float64{0.5, 0.7, 0.85, 0.95}, "loads as shares of all slots")
	f.Float64Var(&o.plan.FaultLoad, "fault-load", 0.85, "load under faults and with heavy-tailed times")
	f.StringSliceVar(&o.faults, "faults", []string{"straggler", "cold", "failfast", "stall", "drain", "zone"}, "faults to play")
	f.BoolVar(&o.plan.HeavyTailed, "heavy", true, "add runs with heavy-tailed service times")
	f.DurationVar(&o.plan.Duration, "duration", 15*time.Second, "length of one run")
	f.DurationVar(&o.plan.Warmup, "warmup", 3*time.Second, "start of each run that is left out")
	f.BoolVar(&o.added, "added", false, "measure instead what an entry VM adds to a call with idle upstreams")
	f.StringVar(&o.json, "json", "", "file for the full results")
	return cmd
}

func (o *experimentOptions) run(ctx context.Context, c *command) error {
	for _, name := range o.deployments {
		switch strings.ToLower(name) {
		case experiment.Montego.Name:
			o.plan.Deployments = append(o.plan.Deployments, experiment.Montego)
		case experiment.Guild.Name:
			o.plan.Deployments = append(o.plan.Deployments, experiment.Guild)
		default:
			return usage("unknown deployment %q", name)
		}
	}
	for _, f := range o.faults {
		if f != "" {
			o.plan.Faults = append(o.plan.Faults, experiment.Fault(f))
		}
	}
	if o.added {
		return o.runAdded(ctx, c)
	}
	rows, err := experiment.Run(ctx, o.plan, c.out)
	if err != nil {
		return errors.Trace(err)
	}
	if o.json == "" {
		return nil
	}
	data, err := json.MarshalIndent(rows, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(o.json, data, 0o600))
}

func (o *experimentOptions) runAdded(ctx context.Context, c *command) error {
	for _, d := range o.plan.Deployments {
		for _, policy := range o.plan.Policies {
			if err := experiment.MeasureAddedLatency(ctx, d, policy, o.plan.Duration, c.out); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}
