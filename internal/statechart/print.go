package statechart

import (
	"bytes"
	"fmt"
	"io"
	"strings"
)

func newReader(data []byte) io.Reader { return bytes.NewReader(data) }

// Text returns the chart as a text table with one transition per line.
func (c *Chart) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s (initial: %s)\n", c.doc.Name, c.doc.Initial)
	for _, t := range c.doc.Transitions {
		fmt.Fprintf(&b, "  %-12s --%s--> %-12s %s\n", t.From, t.On, t.To, joinActions(t.Actions))
	}
	return b.String()
}

// Dot returns the chart as a diagram in the DOT language of Graphviz.
func (c *Chart) Dot() string {
	var b strings.Builder
	fmt.Fprintf(&b, "digraph %q {\n", c.doc.Name)
	for _, t := range c.doc.Transitions {
		fmt.Fprintf(&b, "  %q -> %q [label=%q];\n", t.From, t.To, t.On)
	}
	b.WriteString("}\n")
	return b.String()
}

func joinActions(actions []Action) string {
	names := make([]string, len(actions))
	for i, a := range actions {
		names[i] = string(a)
	}
	return strings.Join(names, ", ")
}
