package statechart

import (
	"testing"

	"gotest.tools/v3/assert"
)

const validChart = `
name = "door"
initial = "open"
states = ["open", "closed"]
actions = ["latch"]
[[transition]]
from = "open"
on = "push"
to = "closed"
actions = ["latch"]
[[transition]]
from = "closed"
on = "pull"
to = "open"
`

func TestNextFollowsTransitionsAndRejectsUnknownEvents(t *testing.T) {
	c, err := Parse([]byte(validChart))
	assert.NilError(t, err)
	s, actions, ok := c.Next(c.Initial(), "push")
	assert.Assert(t, ok)
	assert.Equal(t, s, State("closed"))
	assert.DeepEqual(t, actions, []Action{"latch"})
	s, _, ok = c.Next(s, "push")
	assert.Assert(t, !ok)
	assert.Equal(t, s, State("closed"))
}

func TestParseRejectsInvalidCharts(t *testing.T) {
	cases := []struct {
		name string
		toml string
		want string
	}{
		{"unreachable state", `
name = "x"
initial = "a"
states = ["a", "b"]`, `unreachable state "b"`},
		{"undeclared action", validChart + `
[[transition]]
from = "closed"
on = "kick"
to = "open"
actions = ["break"]`, `undeclared action "break"`},
		{"two transitions from one state on one event", validChart + `
[[transition]]
from = "open"
on = "push"
to = "open"`, `second transition from "open" on "push"`},
		{"unknown key", validChart + `
colour = "red"`, "decode chart"},
		{"undeclared state", validChart + `
[[transition]]
from = "open"
on = "lift"
to = "gone"`, `undeclared state "gone"`},
		{"undeclared initial state", `
name = "x"
initial = "z"
states = ["a"]`, `initial state "z"`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse([]byte(tc.toml))
			assert.ErrorContains(t, err, tc.want)
		})
	}
}
