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

// rebuildOptions contains the flags of the rebuild command.
type rebuildOptions struct {
	file        string
	remove      []uint
	entriesLost bool
	dryRun      bool
}

func newRebuild(env *environment) *cobra.Command {
	var o rebuildOptions
	cmd := &cobra.Command{
		Use:   "rebuild --settings FILE --remove IDS",
		Short: "Create a new control group from one replica after the permanent loss of quorum",
		Long: `Create a new control group from one replica after the permanent loss of quorum.

Run it on the VM of the surviving replica while its control process is stopped.
It asks the entry VMs for the newest configuration and continues only if a
majority of them responds. --remove must list all other members: shut them down
first; they must never start again under these ids. If several replicas survive,
use the one for which --dry-run shows the highest term and index.`,
		Example: "  balsamcourse control rebuild --settings control.toml --remove 2,3 --dry-run",
		Args:    cobra.NoArgs,
		RunE: withErrorKind(func(cmd *cobra.Command, _ []string) error {
			return env.rebuild(cmd.Context(), o)
		}),
	}
	addSettingsFlag(cmd, &o.file)
	f := cmd.Flags()
	f.UintSliceVar(&o.remove, "remove", nil, "ids of all other members")
	f.BoolVar(&o.entriesLost, "entries-lost", false, "continue without a majority of the entry VMs: accepted changes may be lost")
	f.BoolVar(&o.dryRun, "dry-run", false, "print the findings without changing anything")
	return cmd
}

func (env *environment) rebuild(ctx context.Context, o rebuildOptions) error {
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
	answers := store.State.QueryEntries(ctx, client)
	env.printFindings(store.State, answers)
	if o.dryRun {
		return nil
	}
	if err := store.State.CheckRemoved(toUint64s(o.remove)); err != nil {
		return err
	}
	if err := answers.CheckMajority(); err != nil && !o.entriesLost {
		return err
	}
	if err := store.WriteNewGroup(answers); err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.out, "replica %d is now the only member of a new group; start it, then add replicas with new ids\n", s.ID)
	return err
}

// printFindings prints the position of the replica's log and the number of entry
// VMs that answered.
func (env *environment) printFindings(s *rebuild.LogState, answers rebuild.EntryAnswers) {
	fmt.Fprintf(env.out, "replica %d: term %d, index %d, revision %d, other members %v\n",
		s.ReplicaID, s.Term, s.LastIndex, s.Config().GetRevision(), s.OtherMembers())
	fmt.Fprintf(env.out, "entry VMs: %d of %d answered, newest revision %d, missing %v\n",
		answers.Answered, answers.Registered, max(answers.Newest.GetRevision(), s.Config().GetRevision()), answers.Missing)
}

func toUint64s(ids []uint) []uint64 {
	out := make([]uint64, len(ids))
	for i, id := range ids {
		out[i] = uint64(id)
	}
	return out
}
