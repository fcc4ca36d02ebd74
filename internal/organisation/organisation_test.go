package organisation

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

func newOrganisation(name string, keys ...string) *catalogpb.Organisation {
	return &catalogpb.Organisation{Name: name, KeyDigests: Digests(keys)}
}

// TestCheck guards against requests that run without a key that the state holds, and
// against refusals of those that need none.
func TestCheck(t *testing.T) {
	const revoke = 5 * time.Second
	x := NewIndex([]*catalogpb.Organisation{newOrganisation("a", "k1", "k2"), newOrganisation("no keys left")})
	lastKeyRemoved := NewIndex([]*catalogpb.Organisation{newOrganisation("a")})
	strict := NewBounds(revoke)
	assert.Assert(t, strict.MaxAge >= revoke*6/10+RenewInterval(revoke)+300*time.Millisecond && strict.MaxAge < revoke*98/100)
	cases := []struct {
		name    string
		index   *Index
		values  []string
		public  bool
		age     time.Duration
		bounds  Bounds
		verdict Verdict
		holder  string
	}{
		{"state without organisations", NewIndex(nil), []string{"k1"}, false, math.MaxInt64, strict, Allowed, ""},
		{"no state", nil, nil, false, 0, strict, Allowed, ""},
		{"first key", x, []string{"k1"}, false, 0, strict, Allowed, "a"},
		{"second key", x, []string{"k2"}, false, 0, strict, Allowed, "a"},
		{"same key twice", x, []string{"k1", "k1"}, false, 0, strict, Allowed, "a"},
		{"empty value beside a key", x, []string{"", "k1"}, false, 0, strict, Allowed, "a"},
		{"no key", x, nil, false, 0, strict, Missing, ""},
		{"empty key", x, []string{""}, false, 0, strict, Missing, ""},
		{"no key on a public route", x, nil, true, math.MaxInt64, strict, Allowed, ""},
		{"key on a public route", x, []string{"k1"}, true, 0, strict, Allowed, "a"},
		{"unknown key", x, []string{"k3"}, false, 0, strict, Unknown, ""},
		{"unknown key on a public route", x, []string{"k3"}, true, 0, strict, Unknown, ""},
		{"prefix of a key", x, []string{"k"}, false, 0, strict, Unknown, ""},
		{"two keys in one value", x, []string{"k1,k2"}, false, 0, strict, Unknown, ""},
		{"two different keys", x, []string{"k1", "k2"}, false, 0, strict, Unknown, ""},
		{"key and another", x, []string{"k1", "k3"}, false, 0, strict, Unknown, ""},
		{"the last key has been removed", lastKeyRemoved, []string{"k1"}, false, 0, strict, Unknown, ""},
		{"no key after the last one has been removed", lastKeyRemoved, nil, false, 0, strict, Missing, ""},
		{"out of contact for 0.6 of the bound", x, []string{"k1"}, false, revoke * 6 / 10, strict, Allowed, "a"},
		{"out of contact for the bound", x, []string{"k1"}, false, revoke, strict, Unconfirmed, "a"},
		{"never confirmed", x, []string{"k1"}, false, math.MaxInt64, strict, Unconfirmed, "a"},
		{"out of contact, no guarantee", x, []string{"k1"}, false, math.MaxInt64, NewBounds(0), Allowed, "a"},
	}
	for _, c := range cases {
		o, verdict := c.index.Check(CredentialOf(c.values), c.public, c.age, c.bounds)
		assert.Equal(t, verdict, c.verdict, c.name)
		assert.Equal(t, o.GetName(), c.holder, c.name)
	}
}

// BenchmarkCheck measures what a request with a key costs on its arrival (digest and
// lookup), and the second lookup right before it is sent.
func BenchmarkCheck(b *testing.B) {
	for _, n := range []int{83, 10_000} {
		var list []*catalogpb.Organisation
		for i := range n {
			list = append(list, newOrganisation(fmt.Sprint(i), fmt.Sprintf("%032d", i), fmt.Sprintf("%032d", i+n)))
		}
		x := NewIndex(list)
		values := []string{strings.Repeat("0", 32)}
		b.Run(fmt.Sprintf("arrival/organisations=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				x.Check(CredentialOf(values), false, time.Second, NewBounds(5*time.Second))
			}
		})
		credential := CredentialOf(values)
		b.Run(fmt.Sprintf("before sending/organisations=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				x.Check(credential, false, time.Second, NewBounds(5*time.Second))
			}
		})
	}
}
