package control

import "balsamcourse.example/balsamcourse/internal/catalog"

// stateMachine applies commands to the catalog and notifies the event loop.
type stateMachine struct {
	catalog *catalog.Catalog
	changed chan struct{}
}

// Apply applies one command and returns its result.
func (m *stateMachine) Apply(index uint64, data []byte) any {
	result := m.catalog.Apply(index, data)
	m.notifyChanged()
	return result
}

// Snapshot returns the encoded state of the catalog.
func (m *stateMachine) Snapshot() ([]byte, error) { return m.catalog.Snapshot() }

// Restore replaces the state of the catalog by a snapshot.
func (m *stateMachine) Restore(data []byte) error {
	if err := m.catalog.Restore(data); err != nil {
		return err
	}
	m.notifyChanged()
	return nil
}

// notifyChanged wakes the event loop. It does not block: a pending notification
// also covers this change.
func (m *stateMachine) notifyChanged() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}
