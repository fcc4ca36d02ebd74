package storage

import (
	"errors"
	"maps"
	"os"
)

var errIO = errors.New("input/output error")

// inode is the content of a file; synced is the part that survives a crash.
type inode struct{ data, synced []byte }

// memoryFS is a file system in memory. After a crash, the names are those of
// the last SyncDir and the contents those of the last Sync.
type memoryFS struct {
	files, durableFiles map[string]*inode
	// The fail fields make calls fail until the next crash. A failing write
	// leaves half of the data.
	failWrite, failSync, failRename, failSyncDir bool
	// skipSync makes Sync of files succeed without effect.
	skipSync bool
}

func newMemoryFS() *memoryFS {
	return &memoryFS{files: map[string]*inode{}, durableFiles: map[string]*inode{}}
}

func (m *memoryFS) ReadFile(path string) ([]byte, error) {
	f := m.files[path]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return append([]byte(nil), f.data...), nil
}

func (m *memoryFS) Append(path string) (File, error) {
	if m.files[path] == nil {
		m.files[path] = &inode{}
	}
	return &memoryFile{m, m.files[path]}, nil
}

func (m *memoryFS) Rename(from, to string) error {
	if m.failRename {
		return errIO
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memoryFS) Remove(path string) error {
	if m.files[path] == nil {
		return os.ErrNotExist
	}
	delete(m.files, path)
	return nil
}

func (m *memoryFS) SyncDir(string) error {
	if m.failSyncDir {
		return errIO
	}
	m.durableFiles = maps.Clone(m.files)
	return nil
}

// crash simulates a crash. The unsynced rest of each file is passed to
// survives, which returns what of it reached the disk.
func (m *memoryFS) crash(survives func(unsynced []byte, at int) []byte) {
	m.files = maps.Clone(m.durableFiles)
	m.failWrite, m.failSync, m.failRename, m.failSyncDir = false, false, false, false
	for _, f := range m.files {
		if len(f.data) > len(f.synced) {
			rest := survives(append([]byte(nil), f.data[len(f.synced):]...), len(f.synced))
			f.data = append(append([]byte(nil), f.synced...), rest...)
		}
		f.synced = append([]byte(nil), f.data...)
	}
}

// memoryFile is an open file of memoryFS.
type memoryFile struct {
	m *memoryFS
	f *inode
}

func (h *memoryFile) Write(p []byte) (int, error) {
	if h.m.failWrite {
		h.f.data = append(h.f.data, p[:len(p)/2]...)
		return len(p) / 2, errIO
	}
	h.f.data = append(h.f.data, p...)
	return len(p), nil
}

func (h *memoryFile) Sync() error {
	if h.m.failSync {
		return errIO
	}
	if !h.m.skipSync {
		h.f.synced = append([]byte(nil), h.f.data...)
	}
	return nil
}

func (h *memoryFile) Truncate(size int64) error {
	h.f.data = h.f.data[:size]
	h.f.synced = h.f.synced[:min(len(h.f.synced), int(size))]
	return nil
}

func (h *memoryFile) Close() error { return nil }
