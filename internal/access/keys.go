// Package access checks the keys of operators, of announcing upstreams and of
// the system's own processes.
//
// A key file holds one key a line, "name key"; a name may stand on two lines,
// so that a key can be replaced while both are valid. Senders use the first.
package access

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"strings"
	"sync/atomic"

	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/settings"
)

const (
	// minKeyBytes is the least length of a key.
	minKeyBytes = 16
	// maxKeysPerName allows a key and its successor.
	maxKeysPerName = 2
)

// Key is a secret and the name of its holder.
type Key struct {
	Name   string
	Secret string
}

// digest is the form in which secrets are compared: its length is the same
// for all of them.
type digest [sha256.Size]byte

// ring is the content of a key file.
type ring struct {
	keys    []Key
	digests []digest
}

// Keys holds the keys of one file. It is safe for concurrent use.
type Keys struct {
	path string
	ring atomic.Pointer[ring]
}

// Load reads the key file at path. The error is of kind fault.Settings and
// names file and line; it never holds a key.
func Load(path string) (*Keys, error) {
	r, err := readRing(path)
	if err != nil {
		return nil, err
	}
	k := &Keys{path: path}
	k.ring.Store(r)
	return k, nil
}

// Current returns the first key of the file, the one that senders use.
func (k *Keys) Current() Key { return k.ring.Load().keys[0] }

// Holder returns the name that belongs to secret. The time it takes depends
// on neither the secret nor which key matches.
func (k *Keys) Holder(secret string) (string, bool) {
	r := k.ring.Load()
	given := digest(sha256.Sum256([]byte(secret)))
	match := -1
	for i := range r.digests {
		equal := subtle.ConstantTimeCompare(given[:], r.digests[i][:])
		match = subtle.ConstantTimeSelect(equal, i, match)
	}
	if match < 0 {
		return "", false
	}
	return r.keys[match].Name, true
}

func readRing(path string) (*ring, error) {
	data, err := settings.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parseRing(path, data)
}

func parseRing(path string, data []byte) (*ring, error) {
	r := &ring{}
	perName := make(map[string]int)
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		key, err := parseKey(path, line, text)
		if err != nil {
			return nil, err
		}
		perName[key.Name]++
		if perName[key.Name] > maxKeysPerName {
			return nil, fault.New(fault.Settings, "%s:%d: more than %d keys of %q", path, line, maxKeysPerName, key.Name)
		}
		r.add(key)
	}
	if err := scanner.Err(); err != nil {
		return nil, fault.New(fault.Settings, "%s: %v", path, err)
	}
	if len(r.keys) == 0 {
		return nil, fault.New(fault.Settings, "%s: holds no key", path)
	}
	return r, nil
}

func parseKey(path string, line int, text string) (Key, error) {
	fields := strings.Fields(text)
	if len(fields) != 2 {
		return Key{}, fault.New(fault.Settings, "%s:%d: must have the form \"name key\"", path, line)
	}
	if len(fields[1]) < minKeyBytes {
		return Key{}, fault.New(fault.Settings, "%s:%d: key of %q is shorter than %d bytes", path, line, fields[0], minKeyBytes)
	}
	return Key{Name: fields[0], Secret: fields[1]}, nil
}

func (r *ring) add(k Key) {
	r.keys = append(r.keys, k)
	r.digests = append(r.digests, sha256.Sum256([]byte(k.Secret)))
}
