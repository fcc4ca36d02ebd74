// Package identity decides under which replica id a control VM takes part in
// the control group, and keeps that decision on its disk.
//
// A control VM that is told only the addresses of a few others finds itself in
// one of three situations. On the first start of the whole system the listed
// VMs found the group, with ids by their place in the list. Every other VM
// with an empty disk, and so each one that has lost its disk, joins under a
// new random id. A VM whose disk holds an identity keeps it.
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

// Identity is how a replica takes part in the control group.
type Identity struct {
	// ReplicaID is the id of the replica; ids are never reused.
	ReplicaID uint64 `json:"replica_id"`
	// Founders lists the cluster addresses of the VMs that found the group, in
	// order of their replica ids from 1; empty for a replica that joins.
	Founders []string `json:"founders,omitempty"`
}

// Joins reports whether the replica joins an existing group.
func (i Identity) Joins() bool { return len(i.Founders) == 0 }

// BootstrapOptions is what a control VM knows when it starts with an empty disk.
type BootstrapOptions struct {
	// FirstStart is set when the whole system starts for the first time.
	FirstStart bool
	// SelfAddress is the cluster address of this VM.
	SelfAddress string
	// Seeds lists the cluster addresses of a few control VMs. At the first
	// start all of them are given the same list.
	Seeds []string
}

// Decide returns the identity for an empty disk. drawn is a random number that
// is used when the replica joins.
//
// Only a first start founds a group: a founder that came back without its disk
// and founded again could vote twice.
func Decide(s BootstrapOptions, drawn uint64) Identity {
	founders := slices.Clone(s.Seeds)
	slices.Sort(founders)
	founders = slices.Compact(founders)
	if at := slices.Index(founders, s.SelfAddress); s.FirstStart && at >= 0 {
		return Identity{ReplicaID: uint64(at) + 1, Founders: founders}
	}
	return Identity{ReplicaID: joiningID(drawn)}
}

// firstJoiningID separates the ids of replicas that join from those of
// founders.
const firstJoiningID = 1 << 16

// joiningID keeps ids within 53 bits, so that they survive JSON.
func joiningID(drawn uint64) uint64 { return drawn%(1<<53-firstJoiningID) + firstJoiningID }

const fileName = "identity.json"

// Load returns the identity kept in dir. Without one it decides on one and
// keeps it, durably, before it returns.
func Load(fs storage.FS, dir string, s BootstrapOptions) (Identity, error) {
	path := filepath.Join(dir, fileName)
	data, err := fs.ReadFile(path)
	if err == nil {
		var kept Identity
		if err := json.Unmarshal(data, &kept); err != nil || kept.ReplicaID == 0 {
			return Identity{}, errors.NotValidf("identity in %s", path)
		}
		return kept, nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return Identity{}, errors.Annotatef(err, "read %s", path)
	}
	drawn, err := draw()
	if err != nil {
		return Identity{}, err
	}
	id := Decide(s, drawn)
	return id, errors.Annotatef(keep(fs, path, id), "write %s", path)
}

func draw() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, errors.Annotate(err, "draw a replica id")
	}
	return binary.LittleEndian.Uint64(b[:]), nil
}

// keep writes the identity.
func keep(fs storage.FS, path string, id Identity) error {
	data, err := json.Marshal(id)
	if err != nil {
		return errors.Trace(err)
	}
	f, err := storage.ReplaceFile(fs, path, data)
	if f != nil {
		// Synced by then, or of no use.
		_ = f.Close()
	}
	return errors.Trace(err)
}
