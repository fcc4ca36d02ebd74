package storage

import (
	"errors"
	"maps"
	"os"
)

var errDisk = errors.New("input/output error")

// inode is the content of a file; synced is what survives a crash.
type inode struct{ data, synced []byte }

// memory is a file system in memory. Names survive a crash as of the last
// SyncDir, content as of the last Sync.
type memory struct {
	names, durable map[string]*inode
	// failWrite and failSync make the next call fail; a failing write leaves
	// part of the data.
	failWrite, failSync, failRename, failDir bool
	// skipSync makes Sync succeed without effect.
	skipSync bool
}

func newMemory() *memory {
	return &memory{names: map[string]*inode{}, durable: map[string]*inode{}}
}

func (m *memory) ReadFile(path string) ([]byte, error) {
	f := m.names[path]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return append([]byte(nil), f.data...), nil
}

func (m *memory) Append(path string) (File, error) {
	if m.names[path] == nil {
		m.names[path] = &inode{}
	}
	return &handle{m, m.names[path]}, nil
}

func (m *memory) Rename(from, to string) error {
	if m.failRename {
		return errDisk
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memory) Remove(path string) error {
	if m.names[path] == nil {
		return os.ErrNotExist
	}
	delete(m.names, path)
	return nil
}

func (m *memory) SyncDir(string) error {
	if m.failDir {
		return errDisk
	}
	m.durable = maps.Clone(m.names)
	return nil
}

// crash ends the process. The unsynced rest of each file is passed to tear,
// which returns what of it reached the disk.
func (m *memory) crash(tear func(unsynced []byte, at int) []byte) {
	m.names = maps.Clone(m.durable)
	m.failWrite, m.failSync, m.failRename, m.failDir = false, false, false, false
	for _, f := range m.names {
		if len(f.data) > len(f.synced) {
			rest := tear(append([]byte(nil), f.data[len(f.synced):]...), len(f.synced))
			f.data = append(append([]byte(nil), f.synced...), rest...)
		}
		f.synced = append([]byte(nil), f.data...)
	}
}

// handle is an open file.
type handle struct {
	m *memory
	f *inode
}

func (h *handle) Write(p []byte) (int, error) {
	if h.m.failWrite {
		h.f.data = append(h.f.data, p[:len(p)/2]...)
		return len(p) / 2, errDisk
	}
	h.f.data = append(h.f.data, p...)
	return len(p), nil
}

func (h *handle) Sync() error {
	if h.m.failSync {
		return errDisk
	}
	if !h.m.skipSync {
		h.f.synced = append([]byte(nil), h.f.data...)
	}
	return nil
}

func (h *handle) Truncate(size int64) error {
	h.f.data = h.f.data[:size]
	h.f.synced = h.f.synced[:min(len(h.f.synced), int(size))]
	return nil
}

func (h *handle) Close() error { return nil }
