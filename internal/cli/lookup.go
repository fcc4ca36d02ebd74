package cli

import (
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"balsamcourse.example/balsamcourse/internal/load"
)

// lookupTimeout bounds a look-up on the command line.
const lookupTimeout = 5 * time.Second

func newLookup(c *command) *cobra.Command {
	var (
		entries []string
		zone    string
		output  string
	)
	cmd := &cobra.Command{
		Use:     "lookup SERVICE",
		Short:   "Ask which entry VMs a caller of a service uses",
		Example: "  balsamcourse lookup booking --entry 10.0.1.21:8080 --zone jm-south-a",
		Args:    cobra.ExactArgs(1),
		RunE: withKind(func(cmd *cobra.Command, args []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			client := &http.Client{Timeout: lookupTimeout}
			answer, err := load.Lookup(cmd.Context(), client, entries, args[0], zone)
			if err != nil {
				return err
			}
			if output == outputJSON {
				return printJSON(c.out, answer)
			}
			t := newTable(c.out, "ENTRY", "ADDRESS", "ZONE", "WEIGHT")
			for _, e := range answer.Entries {
				t.row(e.ID, e.Address, e.Zone, e.Weight)
			}
			if err := t.flush(); err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.out, "valid for %d ms\n", answer.TTLMs)
			return err
		}),
	}
	f := cmd.Flags()
	f.StringSliceVar(&entries, "entry", []string{"127.0.0.1:8080"}, "addresses of entry VMs, tried in turn")
	f.StringVar(&zone, "zone", "", "availability zone of the caller")
	f.StringVar(&output, "output", outputText, "text or json")
	return cmd
}
