package access

import (
	"context"
	"os"
	"time"

	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/wait"
)

// stamp tells versions of a file apart.
type stamp struct {
	modified time.Time
	size     int64
}

// Watch reads the key file again whenever it changes, until ctx ends. A file
// that is not valid leaves the old keys in force.
func (k *Keys) Watch(ctx context.Context, every time.Duration, log event.Logger) {
	if k == nil {
		return
	}
	var seen stamp
	wait.Every(ctx, every, func() { seen = k.reload(seen, log) })
}

// reload reads the file when its stamp differs from seen.
func (k *Keys) reload(seen stamp, log event.Logger) stamp {
	info, err := os.Stat(k.path)
	if err != nil {
		if seen != (stamp{size: -1}) {
			log.Log(event.KeysInvalid).Str("file", k.path).Err(err).Send()
		}
		return stamp{size: -1}
	}
	now := stamp{modified: info.ModTime(), size: info.Size()}
	if now == seen {
		return seen
	}
	r, err := readRing(k.path)
	if err != nil {
		log.Log(event.KeysInvalid).Str("file", k.path).Err(err).Send()
		return now
	}
	if !r.equal(k.ring.Load()) {
		k.ring.Store(r)
		log.Log(event.KeysReloaded).Str("file", k.path).Uint64("keys", uint64(len(r.keys))).Send()
	}
	return now
}

func (r *ring) equal(other *ring) bool {
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
