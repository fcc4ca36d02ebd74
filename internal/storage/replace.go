package storage

import (
	"os"
	"path/filepath"

	"github.com/juju/errors"
)

// newSuffix marks a file that is not complete yet.
const newSuffix = ".new"

// ReplaceFile makes data the whole content of a file, durably: after a crash
// the file holds either the old content or data. It returns the file, open for
// appending; after an error too, once it has been created.
//
// The rename comes after the sync of the content, and the sync of the folder
// after the rename, so that a loss of power leaves nothing in between.
func ReplaceFile(fs FS, path string, data []byte) (File, error) {
	temp := path + newSuffix
	// What an earlier crash left incomplete must not stand before the content.
	if err := fs.Remove(temp); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, errors.Annotate(err, "remove old file")
	}
	file, err := fs.Append(temp)
	if err != nil {
		return nil, errors.Annotate(err, "create file")
	}
	if err := writeSync(file, data); err != nil {
		return file, err
	}
	if err := fs.Rename(temp, path); err != nil {
		return file, errors.Annotate(err, "rename file")
	}
	return file, errors.Annotate(fs.SyncDir(filepath.Dir(path)), "sync folder")
}
