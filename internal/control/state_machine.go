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
	// stateApplied is the last change of the desired state.
	stateApplied atomic.Pointer[stateChange]
	rolloutTimes rolloutTimes
}

// stateChange says since when a version of the desired state has been applied.
type stateChange struct {
	version uint64
	at      time.Duration
}

// Apply applies one command and returns its result.
func (m *stateMachine) Apply(index uint64, data []byte) any {
	version := m.catalog.Config().StateVersion
	result := m.catalog.Apply(index, data)
	m.history.add(m.now(), m.catalog.Config())
	m.recordStateChange(version)
	m.rolloutTimes.record(m.now(), m.catalog.Config().Rollouts)
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
	m.rolloutTimes.record(m.now(), m.catalog.Config().Rollouts)
	m.notifyChanged()
	return nil
}

// recordStateChange records the time if the desired state has another version than
// the given one.
func (m *stateMachine) recordStateChange(from uint64) {
	if version := m.catalog.Config().StateVersion; version != from {
		m.stateApplied.Store(&stateChange{version, m.now()})
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
