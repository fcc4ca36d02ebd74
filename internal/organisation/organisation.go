// Package organisation finds the organisation of a caller by its API key and decides
// whether a request may be sent with that key. It has no I/O and no clock.
package organisation

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// DigestBytes is the length of a Digest.
const DigestBytes = 16

// Digest is the first 16 bytes of the SHA-256 of an API key. Configurations and logs
// hold it in place of the key.
type Digest [DigestBytes]byte

// DigestOf returns the digest of an API key.
func DigestOf(key string) Digest {
	// A key of usual length is hashed without an allocation.
	var buffer [128]byte
	sum := sha256.Sum256(append(buffer[:0], key...))
	return Digest(sum[:DigestBytes])
}

// Digests returns the digests of API keys as catalogpb.Organisation holds them.
func Digests(keys []string) [][]byte {
	list := make([][]byte, len(keys))
	for i, key := range keys {
		d := DigestOf(key)
		list[i] = d[:]
	}
	return list
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Index finds organisations by the digest of a key. The zero value and nil have no
// organisations. It is immutable.
type Index struct {
	byDigest map[Digest]*catalogpb.Organisation
	present  bool
}

// NewIndex returns the index of the organisations. Digests of another length are
// ignored, since no key has them.
func NewIndex(organisations []*catalogpb.Organisation) *Index {
	x := &Index{present: len(organisations) > 0, byDigest: make(map[Digest]*catalogpb.Organisation, len(organisations))}
	for _, o := range organisations {
		for _, d := range o.KeyDigests {
			if len(d) == DigestBytes {
				x.byDigest[Digest(d)] = o
			}
		}
	}
	return x
}

// KeysRequired reports whether the desired state has organisations, so that requests
// need a key. An organisation without keys counts.
func (x *Index) KeysRequired() bool { return x != nil && x.present }

// Find returns the organisation that holds the key with the digest, or nil.
func (x *Index) Find(d Digest) *catalogpb.Organisation {
	if x == nil {
		return nil
	}
	return x.byDigest[d]
}

// Credential is what a request carries as its API key.
type Credential struct {
	// Present is set if the request carries a key, Ambiguous if it carries several
	// different ones.
	Present, Ambiguous bool
	// Digest is that of the key, if it carries one.
	Digest Digest
}

// String says what is wrong with a credential that no organisation has. It does not
// contain the key.
func (c Credential) String() string {
	if c.Ambiguous {
		return "the request has several different API keys, which counts as a key that is not"
	}
	return "the API key with digest " + c.Digest.String() + " is not"
}

// CredentialOf returns the credential in the values of the key header. An empty value
// counts as none.
func CredentialOf(values []string) Credential {
	key := ""
	c := Credential{}
	for _, v := range values {
		switch {
		case v == "":
		case !c.Present:
			c.Present, key = true, v
		case v != key:
			c.Ambiguous = true
		}
	}
	if c.Present && !c.Ambiguous {
		c.Digest = DigestOf(key)
	}
	return c
}

// Verdict is the decision on a request.
type Verdict int

// Verdicts.
const (
	// Allowed: the request may be sent.
	Allowed Verdict = iota
	// Missing: the route needs a key and the request carries none.
	Missing
	// Unknown: no organisation of the desired state has the key.
	Unknown
	// Unconfirmed: the key is known, but may have been removed from a newer state.
	Unconfirmed
)

// Bounds limits the age of the state on which a request with a key is sent.
type Bounds struct {
	// MaxAge is the longest time for which the state may not have been confirmed as
	// the newest; 0 means no limit.
	MaxAge time.Duration
}

// ageShare is the part of the time within which a removed key must stop working that
// the state may be unconfirmed. The rest covers clocks that run at different rates
// (0.1 % at most) and the time from the confirmed state of control to the
// acknowledgement of the next one.
const ageShare = 0.9

// NewBounds returns the bounds for keys that must stop working within revokeWithin
// after the acknowledgement of their removal; 0 means no such guarantee.
func NewBounds(revokeWithin time.Duration) Bounds {
	return Bounds{MaxAge: time.Duration(ageShare * float64(revokeWithin))}
}

// Check decides whether a request may be sent and returns its organisation, nil for a
// request without a key. age is the time for which the state has not been confirmed as
// the newest one. It must be read before x is, so that it is not that of a newer state.
//
// A key that is not in the state is refused on public routes as well: a request with a
// key that was removed, or that no state ever held, never runs.
func (x *Index) Check(c Credential, public bool, age time.Duration, b Bounds) (*catalogpb.Organisation, Verdict) {
	switch {
	case !x.KeysRequired():
		return nil, Allowed
	case !c.Present && !public:
		return nil, Missing
	case !c.Present:
		return nil, Allowed
	case c.Ambiguous:
		return nil, Unknown
	}
	o := x.Find(c.Digest)
	if o == nil {
		return nil, Unknown
	}
	if b.MaxAge > 0 && age >= b.MaxAge {
		return o, Unconfirmed
	}
	return o, Allowed
}
