// Package identity determines the replica id of a control VM and whether it
// founds or joins the control group, and stores that identity in the data
// directory.
//
// On the first start of the whole system, the control VMs in the list of seeds
// found the group. Their ids are their positions in the sorted list. Every
// other VM with an empty disk, including each one that has lost its disk, joins
// the group under a new random id. A VM with a stored identity keeps it.
package identity

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"

	"github.com/juju/errors"

	"balsamcourse.example/balsamcourse/internal/storage"
)

// Identity is the stored identity of a replica of the control group.
type Identity struct {
	// ReplicaID is the id of the replica. Ids are never reused.
	ReplicaID uint64 `json:"replica_id"`
	// Founders lists the cluster addresses of the VMs that found the group, in
	// the order of their replica ids from 1. It is empty for a replica that
	// joins.
	Founders []string `json:"founders,omitempty"`
}

// Joins reports whether the replica joins an existing group.
func (i Identity) Joins() bool { return len(i.Founders) == 0 }

// BootstrapOptions is the input from which a control VM with an empty disk
// determines its identity.
type BootstrapOptions struct {
	// FirstStart is set on the first start of the whole system.
	FirstStart bool
	// SelfAddress is the cluster address of this VM.
	SelfAddress string
	// Seeds lists the cluster addresses of some control VMs. On the first
	// start all of these must be given the same list.
	Seeds []string
}

// Decide returns the identity of a VM with an empty disk. randomID is a random
// number, from which the id is derived if the replica joins.
//
// A group is founded only on a first start: a founder that lost its disk and
// founded the group again could vote twice in one term.
func Decide(opts BootstrapOptions, randomID uint64) Identity {
	founders := slices.Clone(opts.Seeds)
	slices.Sort(founders)
	founders = slices.Compact(founders)
	if at := slices.Index(founders, opts.SelfAddress); opts.FirstStart && at >= 0 {
		return Identity{ReplicaID: uint64(at) + 1, Founders: founders}
	}
	return Identity{ReplicaID: joiningID(randomID)}
}

// minJoiningID is the lowest id of a replica that joins; founders have lower
// ids.
const minJoiningID = 1 << 16

// joiningID maps a random number to an id of at most 53 bits, which JSON
// numbers represent exactly.
func joiningID(randomID uint64) uint64 { return randomID%(1<<53-minJoiningID) + minJoiningID }

const fileName = "identity.json"

// Load returns the identity stored in dir. If there is none, it determines one
// and syncs it to disk before it returns. It returns an error if the stored
// identity is invalid or the file cannot be read or written.
func Load(fs storage.FS, dir string, opts BootstrapOptions) (Identity, error) {
	path := filepath.Join(dir, fileName)
	data, err := fs.ReadFile(path)
	if err == nil {
		var stored Identity
		if err := json.Unmarshal(data, &stored); err != nil || stored.ReplicaID == 0 {
			return Identity{}, errors.NotValidf("replica identity in %s", path)
		}
		// A process that was killed may have left the name of the file without a sync.
		return stored, errors.Annotatef(fs.SyncDir(dir), "sync %s", dir)
	}
	if !errors.Is(err, os.ErrNotExist) {
		return Identity{}, errors.Annotatef(err, "read %s", path)
	}
	randomID, err := randomNumber()
	if err != nil {
		return Identity{}, err
	}
	id := Decide(opts, randomID)
	return id, errors.Annotatef(save(fs, path, id), "write %s", path)
}

func randomNumber() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, errors.Annotate(err, "generate replica id")
	}
	return binary.LittleEndian.Uint64(b[:]), nil
}

// save replaces the file at path by one with the identity and syncs it to disk.
func save(fs storage.FS, path string, id Identity) error {
	data, err := json.Marshal(id)
	if err != nil {
		return errors.Trace(err)
	}
	f, err := storage.ReplaceFile(fs, path, data)
	if f != nil {
		// The data has been synced, or writing failed, so an error of Close
		// does not matter.
		_ = f.Close()
	}
	return errors.Trace(err)
}
