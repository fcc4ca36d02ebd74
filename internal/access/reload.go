package access

import (
	"context"
	"os"
	"time"

	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/wait"
)

// fileVersion identifies a version of a file by its modification time and size.
type fileVersion struct {
	modified time.Time
	size     int64
}

// Watch checks the key file at the given interval and reloads it after a change,
// until ctx ends. While the file is missing or not valid, the old keys stay in
// force. Watch returns at once if k is nil.
func (k *Keys) Watch(ctx context.Context, every time.Duration, log event.Logger) {
	if k == nil {
		return
	}
	var seen fileVersion
	wait.Every(ctx, every, func() { seen = k.reload(seen, log) })
}

// reload reads the file if its version differs from seen, and returns its version.
// Size -1 stands for a file that cannot be found, so that this is logged once.
func (k *Keys) reload(seen fileVersion, log event.Logger) fileVersion {
	info, err := os.Stat(k.path)
	if err != nil {
		if seen != (fileVersion{size: -1}) {
			log.Log(event.KeysInvalid).Str("file", k.path).Err(err).Send()
		}
		return fileVersion{size: -1}
	}
	now := fileVersion{modified: info.ModTime(), size: info.Size()}
	if now == seen {
		return seen
	}
	r, err := readKeySet(k.path)
	if err != nil {
		log.Log(event.KeysInvalid).Str("file", k.path).Err(err).Send()
		return now
	}
	if !r.equal(k.current.Load()) {
		k.current.Store(r)
		log.Log(event.KeysReloaded).Str("file", k.path).Uint64("keys", uint64(len(r.keys))).Send()
	}
	return now
}

func (r *keySet) equal(other *keySet) bool {
	if len(r.keys) != len(other.keys) {
		return false
	}
	for i := range r.keys {
		if r.keys[i] != other.keys[i] {
			return false
		}
	}
	return true
}
