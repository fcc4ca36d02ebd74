package storage

import (
	"os"
	"path/filepath"

	"github.com/juju/errors"
)

// tempSuffix marks a file that is not complete yet.
const tempSuffix = ".new"

// ReplaceFile durably makes data the whole content of a file: after a crash,
// the file holds either the old content or data. It returns the file, open for
// appending. If an error occurs after the file was created, it returns both the
// file and the error.
//
// The content is synced before the rename and the directory after it, so that a
// power failure leaves no other state.
func ReplaceFile(fs FS, path string, data []byte) (File, error) {
	temp := path + tempSuffix
	// Append would add to an incomplete file that an earlier crash has left.
	if err := fs.Remove(temp); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, errors.Annotate(err, "remove incomplete file of an earlier attempt")
	}
	file, err := fs.Append(temp)
	if err != nil {
		return nil, errors.Annotate(err, "create temporary file")
	}
	if err := writeSync(file, data); err != nil {
		return file, err
	}
	if err := fs.Rename(temp, path); err != nil {
		return file, errors.Annotate(err, "rename temporary file")
	}
	return file, errors.Annotate(fs.SyncDir(filepath.Dir(path)), "sync directory")
}
