package storage

import (
	"io"
	"os"
	"path/filepath"

	"github.com/juju/errors"
)

// File is a file that is open for appending.
type File interface {
	io.Writer
	io.Closer
	Sync() error
	Truncate(size int64) error
}

// FS is the part of a file system that the log uses. Tests replace it to make
// operations fail.
type FS interface {
	// ReadFile returns the content of a file, or os.ErrNotExist if there is
	// none.
	ReadFile(path string) ([]byte, error)
	// Append opens a file for appending and creates it if necessary.
	Append(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes created, renamed and removed names in a directory durable.
	SyncDir(path string) error
}

// OSFS is the file system of the operating system.
type OSFS struct{}

// ReadFile implements FS.
func (OSFS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Append implements FS. It also creates the directory of the file if necessary.
func (OSFS) Append(path string) (File, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return nil, errors.Trace(err)
	}
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
}

// Rename implements FS.
func (OSFS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OSFS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS.
func (OSFS) SyncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return errors.Trace(err)
	}
	defer d.Close()
	return errors.Trace(d.Sync())
}
