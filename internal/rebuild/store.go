package rebuild

import (
	"net"
	"os"

	"github.com/juju/errors"

	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/storage"
)

// Store is the open log of a replica that does not run.
type Store struct {
	log   *storage.Log
	State *LogState
}

// Open opens the log of the replica with the settings. It refuses while the
// replica runs, or without a log.
func Open(s settings.Control) (*Store, error) {
	if err := checkStopped(s); err != nil {
		return nil, err
	}
	files, err := os.ReadDir(s.DataDir)
	if err != nil || len(files) == 0 {
		return nil, fault.New(fault.NotFound, "%s holds no log", s.DataDir)
	}
	log, found, err := storage.Open(storage.OSFS{}, s.DataDir, 1)
	if err != nil {
		return nil, fault.New(fault.DiskFailed, "%v", err)
	}
	survey, err := Read(s.ID, found.Record)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Store{log: log, State: survey}, nil
}

// checkStopped tries the listener of the replica.
func checkStopped(s settings.Control) error {
	l, err := net.Listen("tcp", s.ClusterListen)
	if err != nil {
		return fault.New(fault.InvalidChange, "stop the control VM first: %v", err)
	}
	return errors.Trace(l.Close())
}

// WriteNewGroup makes the log that of a new group.
func (s *Store) WriteNewGroup(asked EntryAnswers) error {
	rec, err := s.State.NewGroupLog(asked.Newest)
	if err != nil {
		return errors.Trace(err)
	}
	if err := s.log.Replace(rec); err != nil {
		return fault.New(fault.DiskFailed, "%v", err)
	}
	return nil
}

// Close releases the log.
func (s *Store) Close() error { return errors.Trace(s.log.Close()) }
