package cli

import (
	"strings"

	"github.com/spf13/cobra"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

func newAdminRule(a *admin) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "rule",
		Short: "Define which requests are repeatable and which require an Idempotency-Key",
		Long: `Define which requests are repeatable and which require an Idempotency-Key. A
rule has the name SERVICE/RULE.`,
		Example: "  balsamcourse admin rule list",
	}
	cmd.AddCommand(newRulePut(a), newRuleDelete(a), newRuleList(a))
	return cmd
}

func newRulePut(a *admin) *cobra.Command {
	r := &catalogpb.Rule{}
	cmd := &cobra.Command{
		Use:     "put SERVICE/RULE",
		Short:   "Create or replace a rule",
		Example: "  balsamcourse admin rule put booking/pay --method POST --path /sittings/:id/payment --key-required",
		Args:    cobra.ExactArgs(1),
		RunE: withErrorKind(func(cmd *cobra.Command, args []string) error {
			name, err := parseRuleName(args[0])
			if err != nil {
				return err
			}
			r.Service, r.Name = name.Service, name.Name
			return a.apply(cmd.Context(), &catalogpb.Change{Kind: &catalogpb.Change_PutRule{PutRule: r}})
		}),
	}
	f := cmd.Flags()
	f.StringVar(&r.Method, "method", "*", "HTTP method, or * for any")
	f.StringVar(&r.PathPattern, "path", "/*path", "path pattern, relative to the path prefix of the service")
	f.BoolVar(&r.Repeatable, "repeatable", false, "the request may be sent to an upstream more than once")
	f.BoolVar(&r.KeyRequired, "key-required", false, "refuse requests without an Idempotency-Key")
	return cmd
}

func newRuleDelete(a *admin) *cobra.Command {
	return newChangeCommand(a, "delete SERVICE/RULE", "Delete a rule", "  balsamcourse admin rule delete booking/pay",
		func(text string) (*catalogpb.Change, error) {
			name, err := parseRuleName(text)
			if err != nil {
				return nil, err
			}
			return &catalogpb.Change{Kind: &catalogpb.Change_DeleteRule{DeleteRule: name}}, nil
		})
}

func newRuleList(a *admin) *cobra.Command {
	return newListCommand(a, listSpec{
		short:   "List the rules",
		example: "  balsamcourse admin rule list",
		selectPart: func(c *catalogpb.Config) *catalogpb.Config {
			return &catalogpb.Config{Revision: c.Revision, Rules: c.Rules}
		},
		header: []any{"RULE", "METHOD", "PATH", "REPEATABLE", "KEY REQUIRED"},
		addRows: func(t table, c *catalogpb.Config) {
			for _, r := range c.Rules {
				t.row(r.Service+"/"+r.Name, r.Method, r.PathPattern, r.Repeatable, r.KeyRequired)
			}
		},
	})
}

func parseRuleName(text string) (*catalogpb.RuleName, error) {
	service, name, ok := strings.Cut(text, "/")
	if !ok || service == "" || name == "" {
		return nil, usageError("invalid rule name %q: expected SERVICE/RULE", text)
	}
	return &catalogpb.RuleName{Service: service, Name: name}, nil
}
