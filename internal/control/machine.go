package control

import "balsamcourse.example/balsamcourse/internal/catalog"

// machine passes commands to the catalog and tells the loop about them.
type machine struct {
	catalog *catalog.Catalog
	changed chan struct{}
}

// Apply executes one command.
func (m *machine) Apply(index uint64, data []byte) any {
	result := m.catalog.Apply(index, data)
	m.signal()
	return result
}

// Snapshot returns the encoded state.
func (m *machine) Snapshot() ([]byte, error) { return m.catalog.Snapshot() }

// Restore replaces the state.
func (m *machine) Restore(data []byte) error {
	if err := m.catalog.Restore(data); err != nil {
		return err
	}
	m.signal()
	return nil
}

// signal wakes the loop; a wake-up that is still pending covers this one.
func (m *machine) signal() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}
