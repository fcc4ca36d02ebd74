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

// experimentOptions contains the flags of the experiment command.
type experimentOptions struct {
	plan         experiment.Plan
	deployments  []string
	faults       []string
	json         string
	addedLatency bool
}

func newExperiment(env *environment) *cobra.Command {
	var o experimentOptions
	cmd := &cobra.Command{
		Use:   "experiment",
		Short: "Compare the dispatch policies on loopback",
		Long: `Compare the dispatch policies end to end. For each deployment and policy, one
process runs a control VM and as many entry VMs and simulated upstreams as the
deployment has. Prints a Markdown table.`,
		Args:    cobra.NoArgs,
		Example: "  balsamcourse load experiment --deployment montego --loads 0.85 --faults straggler",
		RunE: withErrorKind(func(cmd *cobra.Command, _ []string) error {
			return o.run(cmd.Context(), env)
		}),
	}
	f := cmd.Flags()
	f.StringSliceVar(&o.deployments, "deployment", []string{"montego", "guild"}, "deployments to simulate: montego, guild")
	f.StringSliceVar(&o.plan.Policies, "policy",
		[]string{settings.PolicyRandom, settings.PolicyP2C, settings.PolicyP2CShared, settings.PolicyCell}, "policies to compare")
	f.Float64SliceVar(&o.plan.Loads, "loads", []float64{0.5, 0.7, 0.85, 0.95}, "request loads as fractions of all slots")
	f.Float64Var(&o.plan.FaultLoad, "fault-load", 0.85, "request load of the runs with faults or heavy-tailed service times")
	f.StringSliceVar(&o.faults, "faults", []string{"straggler", "cold", "failfast", "stall", "drain", "zone"}, "faults to inject: straggler, cold, failfast, stall, drain, leave, pause, zone")
	f.BoolVar(&o.plan.HeavyTailed, "heavy", true, "add runs with heavy-tailed service times")
	f.DurationVar(&o.plan.Duration, "duration", 15*time.Second, "duration of one run, warm-up included")
	f.DurationVar(&o.plan.Warmup, "warmup", 3*time.Second, "time at the start of each run that is excluded from the results")
	f.BoolVar(&o.addedLatency, "added", false, "measure instead the latency that an entry VM adds to a call to an idle upstream")
	f.StringVar(&o.json, "json", "", "file for the complete results")
	return cmd
}

func (o *experimentOptions) run(ctx context.Context, env *environment) error {
	for _, name := range o.deployments {
		switch strings.ToLower(name) {
		case experiment.Montego.Name:
			o.plan.Deployments = append(o.plan.Deployments, experiment.Montego)
		case experiment.Guild.Name:
			o.plan.Deployments = append(o.plan.Deployments, experiment.Guild)
		default:
			return usageError("unknown deployment %q: expected montego or guild", name)
		}
	}
	for _, f := range o.faults {
		if f != "" {
			o.plan.Faults = append(o.plan.Faults, experiment.Fault(f))
		}
	}
	if o.addedLatency {
		return o.measureAddedLatency(ctx, env)
	}
	rows, err := experiment.Run(ctx, o.plan, env.out)
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

func (o *experimentOptions) measureAddedLatency(ctx context.Context, env *environment) error {
	for _, d := range o.plan.Deployments {
		for _, policy := range o.plan.Policies {
			if err := experiment.MeasureAddedLatency(ctx, d, policy, o.plan.Duration, env.out); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}
