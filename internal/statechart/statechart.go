// Package statechart reads and evaluates state charts defined in TOML files.
//
// A chart defines states, the events that cause a transition from one state to
// another, and the actions to run on each transition. The code that uses a chart
// maps action names to functions; the chart determines which of them run.
package statechart

import (
	"io/fs"
	"slices"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
)

// State is the name of a state in a chart.
type State string

// Event is the name of an event in a chart.
type Event string

// Action is the name of an action in a chart.
type Action string

// Transition is a change from one state to another on an event.
type Transition struct {
	From State `toml:"from"`
	On   Event `toml:"on"`
	To   State `toml:"to"`
	// Actions are run in this order.
	Actions []Action `toml:"actions"`
}

// document is the content of a chart file.
type document struct {
	Name        string       `toml:"name"`
	Initial     State        `toml:"initial"`
	States      []State      `toml:"states"`
	Actions     []Action     `toml:"actions"`
	Transitions []Transition `toml:"transition"`
}

// transitionKey identifies a transition: a state has at most one for each event.
type transitionKey struct {
	from State
	on   Event
}

// Chart is a valid state chart. It is immutable and safe for concurrent use.
type Chart struct {
	doc         document
	transitions map[transitionKey]Transition
}

// Parse decodes a chart from TOML and validates it. It returns an error for
// unknown keys, for undeclared states or actions, for a state that cannot be
// reached from the initial state, and for two transitions from the same state on
// the same event.
func Parse(data []byte) (*Chart, error) {
	var doc document
	dec := toml.NewDecoder(newReader(data)).DisallowUnknownFields()
	if err := dec.Decode(&doc); err != nil {
		return nil, errors.Annotate(err, "decode chart")
	}
	c := &Chart{doc: doc, transitions: make(map[transitionKey]Transition, len(doc.Transitions))}
	if err := c.check(); err != nil {
		return nil, errors.Annotatef(err, "chart %q", doc.Name)
	}
	return c, nil
}

// Load reads the chart file at path in fsys and parses it like Parse.
func Load(fsys fs.FS, path string) (*Chart, error) {
	data, err := fs.ReadFile(fsys, path)
	if err != nil {
		return nil, errors.Annotate(err, "read chart")
	}
	return Parse(data)
}

// Name returns the name of the chart as given in its file.
func (c *Chart) Name() string { return c.doc.Name }

// Initial returns the initial state.
func (c *Chart) Initial() State { return c.doc.Initial }

// States returns the states in file order.
func (c *Chart) States() []State { return slices.Clone(c.doc.States) }

// Actions returns the declared actions in file order.
func (c *Chart) Actions() []Action { return slices.Clone(c.doc.Actions) }

// Transitions returns the transitions in file order.
func (c *Chart) Transitions() []Transition { return slices.Clone(c.doc.Transitions) }

// Next returns the new state and the actions to run when event on occurs in state
// from. If the chart has no such transition, it returns from, no actions and false.
func (c *Chart) Next(from State, on Event) (State, []Action, bool) {
	t, ok := c.transitions[transitionKey{from, on}]
	if !ok {
		return from, nil, false
	}
	return t.To, t.Actions, true
}

func (c *Chart) check() error {
	if !slices.Contains(c.doc.States, c.doc.Initial) {
		return errors.NotValidf("undeclared initial state %q", c.doc.Initial)
	}
	for _, t := range c.doc.Transitions {
		if err := c.addTransition(t); err != nil {
			return err
		}
	}
	if s, ok := c.unreachable(); ok {
		return errors.NotValidf("unreachable state %q", s)
	}
	return nil
}

func (c *Chart) addTransition(t Transition) error {
	for _, s := range []State{t.From, t.To} {
		if !slices.Contains(c.doc.States, s) {
			return errors.NotValidf("transition from %q on %q: undeclared state %q", t.From, t.On, s)
		}
	}
	for _, a := range t.Actions {
		if !slices.Contains(c.doc.Actions, a) {
			return errors.NotValidf("transition from %q on %q: undeclared action %q", t.From, t.On, a)
		}
	}
	key := transitionKey{t.From, t.On}
	if _, duplicate := c.transitions[key]; duplicate {
		return errors.NotValidf("second transition from %q on %q", t.From, t.On)
	}
	c.transitions[key] = t
	return nil
}

// unreachable returns the first state that cannot be reached from the initial
// state, and whether there is one.
func (c *Chart) unreachable() (State, bool) {
	seen := map[State]bool{c.doc.Initial: true}
	queue := []State{c.doc.Initial}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		for _, t := range c.doc.Transitions {
			if t.From == s && !seen[t.To] {
				seen[t.To] = true
				queue = append(queue, t.To)
			}
		}
	}
	for _, s := range c.doc.States {
		if !seen[s] {
			return s, true
		}
	}
	return "", false
}
