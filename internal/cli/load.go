package cli

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"balsamcourse.example/balsamcourse/internal/load"
	"balsamcourse.example/balsamcourse/internal/lookup"
)

// loadOptions contains the flags of the load command.
type loadOptions struct {
	plan    load.Plan
	headers []string
	targets []string
	svg     string
	output  string
	quiet   bool
}

func newLoad(env *environment) *cobra.Command {
	var o loadOptions
	cmd := &cobra.Command{
		Use:   "load SERVICE --path PATH",
		Short: "Send open-loop load to a service and measure the latency seen by callers",
		Long: `Send open-loop load to a service: arrivals follow a Poisson process and do not
wait for responses. Latency is measured from the intended arrival. The entry VMs
are found by look-up, as callers do.`,
		Example: `  balsamcourse load demo --path /demo/hello --rate 200 --duration 10s
  balsamcourse load booking --entry 10.0.1.21:8080 --path /booking/pay --method POST --body-bytes 200 --key --resends 3 --output json --svg pay.svg`,
		Args: cobra.ExactArgs(1),
		RunE: withErrorKind(func(cmd *cobra.Command, args []string) error {
			o.plan.Service = args[0]
			if err := o.prepare(env); err != nil {
				return err
			}
			ctx, plannedStop, release := watchSignals(cmd.Context())
			defer release()
			report, err := load.Run(cancelOn(ctx, plannedStop), o.plan)
			if err != nil {
				return err
			}
			return o.write(env.out, report)
		}),
	}
	o.addFlags(cmd)
	cmd.AddCommand(newExperiment(env))
	return cmd
}

func (o *loadOptions) addFlags(cmd *cobra.Command) {
	f := cmd.Flags()
	p := &o.plan
	f.StringSliceVar(&p.LookupAddresses, "entry", []string{"127.0.0.1:8080"}, "addresses of entry VMs for the look-up")
	f.StringSliceVar(&o.targets, "target", nil, "send to these addresses without a look-up")
	f.StringVar(&p.Zone, "zone", "", "availability zone of the callers")
	f.Float64Var(&p.Rate, "rate", 100, "mean arrivals per second")
	f.DurationVar(&p.Duration, "duration", 10*time.Second, "time during which requests arrive")
	f.DurationVar(&p.Warmup, "warmup", 0, "time at the start that is excluded from the totals")
	f.StringVar(&p.Method, "method", http.MethodGet, "HTTP method")
	f.StringVar(&p.Path, "path", "", "request path, including the path prefix of the service")
	f.IntVar(&p.BodyBytes, "body-bytes", 0, "size of the request body in bytes")
	f.BoolVar(&p.IdempotencyKey, "key", false, "send an Idempotency-Key with each request")
	f.StringArrayVar(&o.headers, "header", nil, `additional header field, "Name: value"`)
	f.IntVar(&p.Resends, "resends", 0, "maximum resends of a refused request, each after the time that the refusal states")
	f.DurationVar(&p.Timeout, "timeout", 10*time.Second, "time limit of a request, resends included")
	f.IntVar(&p.MaxInFlight, "max-in-flight", 20_000, "maximum requests in flight; arrivals beyond it are dropped and counted")
	f.Uint64Var(&p.Seed, "seed", 1, "random seed of the arrivals")
	f.StringVar(&o.svg, "svg", "", "SVG file for a plot of the result")
	f.StringVar(&o.output, "output", outputText, "text or json")
	f.BoolVar(&o.quiet, "quiet", false, "do not print progress")
}

// prepare checks the flags and completes the plan with them.
func (o *loadOptions) prepare(env *environment) error {
	if err := checkOutput(o.output); err != nil {
		return err
	}
	for _, address := range o.targets {
		o.plan.Targets = append(o.plan.Targets, lookup.Entry{Address: address})
	}
	o.plan.Header = make(http.Header)
	for _, field := range o.headers {
		name, value, ok := strings.Cut(field, ":")
		if !ok {
			return usageError("invalid --header %q: expected \"Name: value\"", field)
		}
		o.plan.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	if !o.quiet {
		o.plan.Progress = env.errOut
	}
	return nil
}

func (o *loadOptions) write(out io.Writer, report load.Report) error {
	if err := o.writeSVG(report); err != nil {
		return err
	}
	if o.output == outputJSON {
		return report.WriteJSON(out)
	}
	return printReport(out, report)
}

func (o *loadOptions) writeSVG(report load.Report) error {
	if o.svg == "" {
		return nil
	}
	file, err := os.Create(o.svg)
	if err != nil {
		return usageError("create --svg file: %v", err)
	}
	title := fmt.Sprintf("%s, %g requests per second", report.Service, report.Rate)
	err = load.WriteSVG(file, title, []load.Series{{Name: report.Service, Report: report}})
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return errors.Annotate(err, "write SVG plot")
}

func printReport(out io.Writer, r load.Report) error {
	fmt.Fprintf(out, "arrived %d, answered %d (%.1f a second), refused %d, failed %d, dropped %d, resends %d\n\n",
		r.Arrived, r.Answered, r.Goodput, r.Refused, r.Failed, r.Dropped, r.Resends)
	t := newTable(out, "MS", "MEAN", "P50", "P90", "P99", "P99.9", "MAX")
	for _, row := range []struct {
		name string
		q    load.Quantiles
	}{{"answered", r.Latency}, {"all", r.AllLatency}, {"send delay", r.SendDelay}} {
		t.row(row.name, formatMs(row.q.MeanMs), formatMs(row.q.P50Ms), formatMs(row.q.P90Ms), formatMs(row.q.P99Ms), formatMs(row.q.P999Ms), formatMs(row.q.MaxMs))
	}
	if err := t.flush(); err != nil {
		return err
	}
	fmt.Fprintln(out)
	t = newTable(out, "OUTCOME", "REQUESTS")
	for _, c := range r.Outcomes {
		t.row(c.Name, c.N)
	}
	for _, c := range r.RunStatuses {
		t.row("refused: "+c.Name, c.N)
	}
	return t.flush()
}

func formatMs(v float64) string { return fmt.Sprintf("%.2f", v) }
