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

// loadOptions holds the flags of the load command.
type loadOptions struct {
	plan    load.Plan
	headers []string
	target  []string
	svg     string
	output  string
	quiet   bool
}

func newLoad(c *command) *cobra.Command {
	var o loadOptions
	cmd := &cobra.Command{
		Use:   "load SERVICE --path PATH",
		Short: "Drive a service with an open loop of requests and measure its callers' latency",
		Long: `Drive a service with an open loop of requests: arrivals follow a Poisson
process and never wait for answers. Latency counts from the intended arrival.
The entry VMs are found by the look-up, as a caller does.`,
		Example: `  balsamcourse load demo --path /demo/hello --rate 200 --duration 10s
  balsamcourse load booking --entry 10.0.1.21:8080 --path /booking/pay --method POST --body-bytes 200 --key --resends 3 --output json --svg pay.svg`,
		Args: cobra.ExactArgs(1),
		RunE: withKind(func(cmd *cobra.Command, args []string) error {
			o.plan.Service = args[0]
			if err := o.prepare(c); err != nil {
				return err
			}
			ctx, planned, release := watchSignals(cmd.Context())
			defer release()
			report, err := load.Run(endWith(ctx, planned), o.plan)
			if err != nil {
				return err
			}
			return o.write(c.out, report)
		}),
	}
	o.addFlags(cmd)
	cmd.AddCommand(newExperiment(c))
	return cmd
}

func (o *loadOptions) addFlags(cmd *cobra.Command) {
	f := cmd.Flags()
	p := &o.plan
	f.StringSliceVar(&p.LookupAddresses, "entry", []string{"127.0.0.1:8080"}, "entry VMs to ask for the look-up")
	f.StringSliceVar(&o.target, "target", nil, "send to these addresses and skip the look-up")
	f.StringVar(&p.Zone, "zone", "", "availability zone of the callers")
	f.Float64Var(&p.Rate, "rate", 100, "mean arrivals a second")
	f.DurationVar(&p.Duration, "duration", 10*time.Second, "time in which requests arrive")
	f.DurationVar(&p.Warmup, "warmup", 0, "leave requests that arrive earlier out of the totals")
	f.StringVar(&p.Method, "method", http.MethodGet, "HTTP method")
	f.StringVar(&p.Path, "path", "", "request path, with the path prefix of the service")
	f.IntVar(&p.BodyBytes, "body-bytes", 0, "size of the request body")
	f.BoolVar(&p.IdempotencyKey, "key", false, "give each request an Idempotency-Key")
	f.StringArrayVar(&o.headers, "header", nil, `further header field, "Name: value"`)
	f.IntVar(&p.Resends, "resends", 0, "send a refused request again up to this often, when the refusal says")
	f.DurationVar(&p.Timeout, "timeout", 10*time.Second, "bound of a request, resends included")
	f.IntVar(&p.MaxInFlight, "max-in-flight", 20_000, "arrivals beyond this number in flight are dropped and counted")
	f.Uint64Var(&p.Seed, "seed", 1, "seed of the arrivals")
	f.StringVar(&o.svg, "svg", "", "draw the result into this file")
	f.StringVar(&o.output, "output", outputText, "text or json")
	f.BoolVar(&o.quiet, "quiet", false, "show no progress")
}

func (o *loadOptions) prepare(c *command) error {
	if err := checkOutput(o.output); err != nil {
		return err
	}
	for _, address := range o.target {
		o.plan.Targets = append(o.plan.Targets, lookup.Entry{Address: address})
	}
	o.plan.Header = make(http.Header)
	for _, field := range o.headers {
		name, value, ok := strings.Cut(field, ":")
		if !ok {
			return usage("--header %q must have the form \"Name: value\"", field)
		}
		o.plan.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	if !o.quiet {
		o.plan.Progress = c.errOut
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
		return usage("--svg: %v", err)
	}
	title := fmt.Sprintf("%s, %g requests a second", report.Service, report.Rate)
	err = load.WriteSVG(file, title, []load.Series{{Name: report.Service, Report: report}})
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return errors.Annotate(err, "write plot")
}

func printReport(out io.Writer, r load.Report) error {
	fmt.Fprintf(out, "arrived %d, answered %d (%.1f a second), refused %d, failed %d, dropped %d, resends %d\n\n",
		r.Arrived, r.Answered, r.Goodput, r.Refused, r.Failed, r.Dropped, r.Resends)
	t := newTable(out, "MS", "MEAN", "P50", "P90", "P99", "P99.9", "MAX")
	for _, row := range []struct {
		name string
		q    load.Quantiles
	}{{"answered", r.Latency}, {"all", r.AllLatency}, {"send delay", r.SendDelay}} {
		t.row(row.name, ms(row.q.MeanMs), ms(row.q.P50Ms), ms(row.q.P90Ms), ms(row.q.P99Ms), ms(row.q.P999Ms), ms(row.q.MaxMs))
	}
	if err := t.flush(); err != nil {
		return err
	}
	fmt.Fprintln(out)
	t = newTable(out, "OUTCOME", "REQUESTS")
	for _, c := range r.Outcomes {
		t.row(c.Name, c.N)
	}
	for _, c := range r.RunClaims {
		t.row("refused: "+c.Name, c.N)
	}
	return t.flush()
}

func ms(v float64) string { return fmt.Sprintf("%.2f", v) }
