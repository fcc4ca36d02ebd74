package cli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"balsamcourse.example/balsamcourse/internal/explain"
	"balsamcourse.example/balsamcourse/internal/fault"
)

func newExplain(env *environment) *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID [FILE...]",
		Short: "Show the timeline of one request from the logs of all processes",
		Long: `Show the timeline of one request: its lines in the event logs of all processes,
marked with *, and the state changes shortly before and after them in the processes
and upstreams that handled it, in order of time. Without files the logs are read
from standard input.`,
		Example: "  balsamcourse explain 9c41d07be2a35f68 /var/log/balsamcourse/*.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: withErrorKind(func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			timeline := explain.Timeline(lines, args[0])
			if len(timeline) == 0 {
				return fault.New(fault.NotFound, "no log line for request %q; only one in 64 routine calls is logged", args[0])
			}
			for _, l := range timeline {
				fmt.Fprintln(env.out, l)
			}
			return nil
		}),
	}
}

// readLogs returns the event lines of the files, or of in if there are no files.
func readLogs(in io.Reader, files []string) ([]explain.Line, error) {
	if len(files) == 0 {
		return explain.Read(in)
	}
	lines, err := explain.ReadFiles(files...)
	if err != nil {
		return nil, fault.New(fault.BadRequest, "%v", err)
	}
	return lines, nil
}
