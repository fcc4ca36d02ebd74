package statechart

import (
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzParse checks that a chart that Parse accepts has only transitions between
// its declared states, that Next follows each of them, and that the chart can be
// printed.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validChart))
	f.Add([]byte("name = \"x\"\ninitial = \"a\"\nstates = [\"a\", \"a\"]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Parse(data)
		if err != nil {
			return
		}
		states := make(map[State]bool)
		for _, s := range c.States() {
			states[s] = true
		}
		for _, tr := range c.Transitions() {
			to, _, ok := c.Next(tr.From, tr.On)
			assert.Assert(t, ok)
			assert.Assert(t, states[tr.From] && states[to])
		}
		_, _ = c.Text(), c.Dot()
	})
}
