// Package features names what a process supports beyond the oldest build that it may
// run beside. A command whose meaning older builds do not know is used only once all
// processes that must obey it have stated that they support it.
package features

// Set is a bit set of features, as in messages between processes. Builds that do not
// know the field send 0.
type Set uint64

// Features. A number is never reused for another feature.
const (
	// BoundedOrders: the state machine obeys the base revision of commands.
	BoundedOrders Set = 1 << iota
	// Organisations: API keys and organisations of the desired state are obeyed.
	Organisations
	// Rollouts: roll-outs and the software version in rotation are obeyed.
	Rollouts
	// DepartedStarts: an upstream that has left is recorded with the start that has left
	// and the index of its departure.
	DepartedStarts
	// Convictions: the configuration holds the requests that crash upstreams.
	Convictions
)

// Supported is the set that this build supports.
const Supported = BoundedOrders | Organisations | Rollouts | DepartedStarts | Convictions

// Has reports whether s contains all features of want.
func (s Set) Has(want Set) bool { return s&want == want }
