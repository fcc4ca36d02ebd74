// Package access authenticates requests of operators, of upstreams that announce
// themselves and of the system's own processes by secret keys.
//
// A key file holds one key per line in the form "name key". A name may have two
// keys, so that a key can be replaced without downtime: both are accepted, and
// senders use the first key of the file.
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
	// minKeyBytes is the minimum length of a key.
	minKeyBytes = 16
	// maxKeysPerName allows for a key and its replacement.
	maxKeysPerName = 2
)

// Key is a secret key with the name of its holder.
type Key struct {
	Name   string
	Secret string
}

// digest is the hash of a secret. Secrets are compared by their digests, which have
// the same length for all, so that the duration of a comparison reveals nothing.
type digest [sha256.Size]byte

// keySet is the content of a key file.
type keySet struct {
	keys    []Key
	digests []digest
}

// Keys holds the keys of one key file. It is safe for concurrent use.
type Keys struct {
	path    string
	current atomic.Pointer[keySet]
}

// Load reads the key file at path. An error is of kind fault.Settings and names
// file and line; it never contains a key.
func Load(path string) (*Keys, error) {
	r, err := readKeySet(path)
	if err != nil {
		return nil, err
	}
	k := &Keys{path: path}
	k.current.Store(r)
	return k, nil
}

// Current returns the first key of the file, which senders use.
func (k *Keys) Current() Key { return k.current.Load().keys[0] }

// Holder returns the name of the holder of secret, and whether there is one. Its
// duration depends neither on the secret nor on which key matches, to prevent
// timing attacks.
func (k *Keys) Holder(secret string) (string, bool) {
	r := k.current.Load()
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

func readKeySet(path string) (*keySet, error) {
	data, err := settings.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parseKeySet(path, data)
}

func parseKeySet(path string, data []byte) (*keySet, error) {
	r := &keySet{}
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
		return nil, fault.New(fault.Settings, "%s: file has no keys", path)
	}
	return r, nil
}

func parseKey(path string, line int, text string) (Key, error) {
	fields := strings.Fields(text)
	if len(fields) != 2 {
		return Key{}, fault.New(fault.Settings, "%s:%d: line must have the form \"name key\"", path, line)
	}
	if len(fields[1]) < minKeyBytes {
		return Key{}, fault.New(fault.Settings, "%s:%d: key of %q is shorter than %d bytes", path, line, fields[0], minKeyBytes)
	}
	return Key{Name: fields[0], Secret: fields[1]}, nil
}

func (r *keySet) add(k Key) {
	r.keys = append(r.keys, k)
	r.digests = append(r.digests, sha256.Sum256([]byte(k.Secret)))
}
