package rebuild

import (
	"net"
	"os"

	"github.com/juju/errors"

	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/storage"
)

// Store is the open log of a replica that is not running.
type Store struct {
	log   *storage.Log
	State *LogState
}

// Open opens the log of the replica with these settings. It returns an error of
// kind InvalidChange if the replica is running, NotFound if there is no log,
// and DiskFailed if the log cannot be read.
func Open(s settings.Control) (*Store, error) {
	if err := checkStopped(s); err != nil {
		return nil, err
	}
	files, err := os.ReadDir(s.DataDir)
	if err != nil || len(files) == 0 {
		return nil, fault.New(fault.NotFound, "data directory %s contains no replica log", s.DataDir)
	}
	log, found, err := storage.Open(storage.OSFS{}, s.DataDir, 1)
	if err != nil {
		return nil, fault.New(fault.DiskFailed, "%v", err)
	}
	state, err := Read(s.ID, found.Record)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Store{log: log, State: state}, nil
}

// checkStopped returns an error if the replica's cluster address is in use.
func checkStopped(s settings.Control) error {
	l, err := net.Listen("tcp", s.ClusterListen)
	if err != nil {
		return fault.New(fault.InvalidChange, "cluster address is in use, stop the control process first: %v", err)
	}
	return errors.Trace(l.Close())
}

// WriteNewGroup replaces the log by that of a new group of this replica alone.
// It returns an error of kind DiskFailed if the log cannot be written.
func (s *Store) WriteNewGroup(answers EntryAnswers) error {
	rec, err := s.State.NewGroupLog(answers.Newest)
	if err != nil {
		return errors.Trace(err)
	}
	if err := s.log.Replace(rec); err != nil {
		return fault.New(fault.DiskFailed, "%v", err)
	}
	return nil
}

// Close closes the log.
func (s *Store) Close() error { return errors.Trace(s.log.Close()) }
