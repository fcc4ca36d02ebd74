package cli

import (
	"context"
	"fmt"
	"net/http"

	"github.com/spf13/cobra"

	"balsamcourse.example/balsamcourse/internal/access"
	"balsamcourse.example/balsamcourse/internal/rebuild"
	"balsamcourse.example/balsamcourse/internal/settings"
)

// rebuildOptions holds the flags of the rebuild command.
type rebuildOptions struct {
	file        string
	remove      []uint
	entriesLost bool
	dryRun      bool
}

func newRebuild(c *command) *cobra.Command {
	var o rebuildOptions
	cmd := &cobra.Command{
		Use:   "rebuild --settings FILE --remove IDS",
		Short: "Make a new control group out of one replica after the quorum was lost for good",
		Long: `Make a new control group out of one replica after the quorum was lost for good.

Run it on the VM of the replica that is left, while its control process is
stopped. It asks the entry VMs for the newest configuration, and goes on only
when a majority of them answers. --remove must name all other members: switch
them off first, they must never come back under these ids. With several
replicas left, take the one for which --dry-run shows the highest term and
index.`,
		Example: "  balsamcourse control rebuild --settings control.toml --remove 2,3 --dry-run",
		Args:    cobra.NoArgs,
		RunE: withKind(func(cmd *cobra.Command, _ []string) error {
			return c.rebuild(cmd.Context(), o)
		}),
	}
	addSettingsFlag(cmd, &o.file)
	f := cmd.Flags()
	f.UintSliceVar(&o.remove, "remove", nil, "ids of all other members")
	f.BoolVar(&o.entriesLost, "entries-lost", false, "go on without the entry VMs: accepted changes may be lost")
	f.BoolVar(&o.dryRun, "dry-run", false, "print what was found and change nothing")
	return cmd
}

func (c *command) rebuild(ctx context.Context, o rebuildOptions) error {
	s, err := settings.LoadControl(o.file)
	if err != nil {
		return err
	}
	keys, err := access.Load(s.Keys.ClusterFile)
	if err != nil {
		return err
	}
	store, err := rebuild.Open(s)
	if err != nil {
		return err
	}
	defer func() { _ = store.Close() }()
	client := &http.Client{Transport: access.NewTransport(keys, http.DefaultTransport)}
	asked := store.State.QueryEntries(ctx, client)
	c.printSurvey(store.State, asked)
	if o.dryRun {
		return nil
	}
	if err := store.State.CheckRemoved(removedIDs(o.remove)); err != nil {
		return err
	}
	if err := asked.CheckMajority(); err != nil && !o.entriesLost {
		return err
	}
	if err := store.WriteNewGroup(asked); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "replica %d is a group of its own; start it, then add replicas with new ids\n", s.ID)
	return err
}

func (c *command) printSurvey(s *rebuild.LogState, asked rebuild.EntryAnswers) {
	fmt.Fprintf(c.out, "replica %d: term %d, index %d, revision %d, other members %v\n",
		s.ReplicaID, s.Term, s.LastIndex, s.Config().GetRevision(), s.OtherMembers())
	fmt.Fprintf(c.out, "entry VMs: %d of %d answered, newest revision %d, missing %v\n",
		asked.Answered, asked.Registered, max(asked.Newest.GetRevision(), s.Config().GetRevision()), asked.Missing)
}

func removedIDs(ids []uint) []uint64 {
	out := make([]uint64, len(ids))
	for i, id := range ids {
		out[i] = uint64(id)
	}
	return out
}
