package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/settings"
)

// Command returns the soak command for the dialects. Reports go to out.
func Command(out io.Writer, dialects ...Dialect) *cobra.Command {
	flags := settings.DefaultSoak()
	duration, file, runs := flags.DurationMs.Duration(), "", 1
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run the whole system with random faults and check its promises",
		Long: `Run the whole system as separate processes on loopback, with stand-ins of upstreams and
callers, and disrupt it from outside: processes are stopped, killed, suspended and moved, links
cut, reset, silenced and slowed down, disks lost, upstreams crash, leave, lie, answer twice or
break off, operators race. The promises are checked from what callers, upstreams and operators
see. The same seed draws the same disruptions at the same times.

Kinds of faults: ` + strings.Join(Kinds(), ", ") + `.

Clocks and full disks are not disrupted: that needs more than the rights of a user. It works on
Linux, where each VM gets an address of its own in 127.0.0.0/8.`,
		Example: "  balsamcourse soak --seed 7 --duration 2m --size usual",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := merge(cmd, flags, duration, file)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return runSeeds(ctx, s, dialects, runs, out)
		},
	}
	f := cmd.Flags()
	f.Uint64Var(&flags.Seed, "seed", flags.Seed, "seed of the disruptions")
	f.DurationVar(&duration, "duration", duration, "time of the disruptions; start and recovery come in addition")
	f.StringVar(&flags.Size, "size", flags.Size, "small (8 processes), usual (25) or large (127)")
	f.StringVar(&flags.Interface, "interface", flags.Interface, "protocols towards callers, upstreams and operators: "+strings.Join(names(dialects), " or "))
	f.StringSliceVar(&flags.Faults, "faults", nil, "kinds of faults to allow; all if none is named")
	f.StringVar(&flags.Program, "program", "", "program to run; this one if none is named")
	f.StringVar(&flags.PreviousProgram, "previous-program", "", "program of an earlier build, to which processes change and back")
	f.BoolVar(&flags.KeepLogs, "keep-logs", false, "keep logs, journal and timeline also if no promise is broken")
	f.StringVar(&file, "settings", "", "TOML file with the same keys; flags go first")
	f.IntVar(&runs, "runs", runs, "number of runs, each with the next seed")
	return cmd
}

func names(dialects []Dialect) []string {
	out := make([]string, len(dialects))
	for i, d := range dialects {
		out[i] = d.Name
	}
	return out
}

// merge returns the settings of the file, if one is named, with the flags that are set.
func merge(cmd *cobra.Command, flags settings.Soak, duration time.Duration, file string) (settings.Soak, error) {
	s := settings.DefaultSoak()
	if file != "" {
		var err error
		if s, err = settings.LoadSoak(file); err != nil {
			return s, err
		}
	}
	set := cmd.Flags().Changed
	if set("duration") {
		s.DurationMs = settings.Millis(duration.Milliseconds())
	}
	for name, apply := range map[string]func(){
		"seed":             func() { s.Seed = flags.Seed },
		"size":             func() { s.Size = flags.Size },
		"interface":        func() { s.Interface = flags.Interface },
		"faults":           func() { s.Faults = flags.Faults },
		"program":          func() { s.Program = flags.Program },
		"previous-program": func() { s.PreviousProgram = flags.PreviousProgram },
		"keep-logs":        func() { s.KeepLogs = flags.KeepLogs },
	} {
		if set(name) {
			apply()
		}
	}
	if s.Program == "" {
		program, err := os.Executable()
		if err != nil {
			return s, errors.Trace(err)
		}
		s.Program = program
	}
	return s, nil
}

// runSeeds makes the runs one after the other and returns an error if a promise was
// broken in one of them.
func runSeeds(ctx context.Context, s settings.Soak, dialects []Dialect, runs int, out io.Writer) error {
	if err := s.Validate(names(dialects), Kinds()); err != nil {
		return err
	}
	d := dialects[slices.Index(names(dialects), s.Interface)]
	var broken []string
	for range runs {
		result, err := Run(ctx, s, d, out)
		if err != nil {
			return fault.New(fault.Internal, "seed %d: %v", s.Seed, err)
		}
		if len(result.Violations) > 0 {
			broken = append(broken, fmt.Sprintf("seed %d (logs in %s)", s.Seed, result.Dir))
		}
		s.Seed++
	}
	if len(broken) > 0 {
		return fault.New(fault.Internal, "promises were broken in %d of %d runs: %s", len(broken), runs, strings.Join(broken, ", "))
	}
	fmt.Fprintf(out, "%d runs, no promise broken\n", runs)
	return nil
}
