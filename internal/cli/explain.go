package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"balsamcourse.example/balsamcourse/internal/explain"
	"balsamcourse.example/balsamcourse/internal/fault"
)

func newExplain(c *command) *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID [FILE...]",
		Short: "Tell the story of one request from the logs of many processes",
		Long: `Tell the story of one request: its lines in the event logs of all processes, in
order of time and marked with *, and the changes around them in what the processes
it met believed. Without files the logs are read from standard input.`,
		Example: "  balsamcourse explain 9c41d07be2a35f68 /var/log/balsamcourse/*.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: withKind(func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			story := explain.Timeline(lines, args[0])
			if len(story) == 0 {
				return fault.New(fault.NotFound, "no line is about request %q; plain calls are logged one in 64", args[0])
			}
			for _, l := range story {
				fmt.Fprintln(c.out, l)
			}
			return nil
		}),
	}
}

func readLogs(in io.Reader, files []string) ([]explain.Line, error) {
	if len(files) == 0 {
		return explain.Read(in)
	}
	var all []explain.Line
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			return nil, fault.New(fault.BadRequest, "%v", err)
		}
		lines, err := explain.Read(f)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}
