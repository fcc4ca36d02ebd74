package cli

import (
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"balsamcourse.example/balsamcourse/internal/load"
)

// lookupTimeout limits the call to each entry VM.
const lookupTimeout = 5 * time.Second

func newLookup(env *environment) *cobra.Command {
	var (
		entries []string
		zone    string
		output  string
	)
	cmd := &cobra.Command{
		Use:     "lookup SERVICE",
		Short:   "Show which entry VMs a caller of a service uses",
		Example: "  balsamcourse lookup booking --entry 10.0.1.21:8080 --zone jm-south-a",
		Args:    cobra.ExactArgs(1),
		RunE: withErrorKind(func(cmd *cobra.Command, args []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			client := &http.Client{Timeout: lookupTimeout}
			response, err := load.Lookup(cmd.Context(), client, entries, args[0], zone)
			if err != nil {
				return err
			}
			if output == outputJSON {
				return printJSON(env.out, response)
			}
			t := newTable(env.out, "ENTRY", "ADDRESS", "ZONE", "WEIGHT")
			for _, e := range response.Entries {
				t.row(e.ID, e.Address, e.Zone, e.Weight)
			}
			if err := t.flush(); err != nil {
				return err
			}
			_, err = fmt.Fprintf(env.out, "valid for %d ms\n", response.TTLMs)
			return err
		}),
	}
	f := cmd.Flags()
	f.StringSliceVar(&entries, "entry", []string{"127.0.0.1:8080"}, "addresses of entry VMs, tried in turn")
	f.StringVar(&zone, "zone", "", "availability zone of the caller")
	f.StringVar(&output, "output", outputText, "text or json")
	return cmd
}
