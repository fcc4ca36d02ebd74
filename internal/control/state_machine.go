package control

import (
	"sync/atomic"
	"time"

	"balsamcourse.example/balsamcourse/internal/catalog"
)

// stateMachine applies commands to the catalog, retains the configurations and
// notifies the event loop.
type stateMachine struct {
	catalog *catalog.Catalog
	history *history
	now     func() time.Duration
	changed chan struct{}
	// stateAppliedAt is the time, in nanoseconds on the clock of now, at which the
	// desired state last changed.
	stateAppliedAt atomic.Int64
}

// Apply applies one command and returns its result.
func (m *stateMachine) Apply(index uint64, data []byte) any {
	version := m.catalog.Config().StateVersion
	result := m.catalog.Apply(index, data)
	m.history.add(m.now(), m.catalog.Config())
	m.recordStateChange(version)
	m.notifyChanged()
	return result
}

// Snapshot returns the encoded state of the catalog.
func (m *stateMachine) Snapshot() ([]byte, error) { return m.catalog.Snapshot() }

// Restore replaces the state of the catalog by a snapshot.
func (m *stateMachine) Restore(data []byte) error {
	version := m.catalog.Config().StateVersion
	if err := m.catalog.Restore(data); err != nil {
		return err
	}
	m.history.reset(m.now(), m.catalog.Config())
	m.recordStateChange(version)
	m.notifyChanged()
	return nil
}

// recordStateChange records the time if the desired state has another version than
// the given one.
func (m *stateMachine) recordStateChange(from uint64) {
	if m.catalog.Config().StateVersion != from {
		m.stateAppliedAt.Store(int64(m.now()))
	}
}

// notifyChanged wakes the event loop. It does not block: a pending notification
// also covers this change.
func (m *stateMachine) notifyChanged() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}
