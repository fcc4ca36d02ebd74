package catalog

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/organisation"
)

func newOrganisation(name string, keys ...string) *catalogpb.Organisation {
	return &catalogpb.Organisation{Name: name, KeyDigests: organisation.Digests(keys)}
}

// TestInvalidOrganisationsAreRejectedWithThePathOfTheField also applies each invalid
// state: a control VM must not apply one that another has let through.
func TestInvalidOrganisationsAreRejectedWithThePathOfTheField(t *testing.T) {
	limited := func(rate, burst float64) *catalogpb.Organisation {
		return &catalogpb.Organisation{Name: "b", RatePerS: rate, Burst: burst}
	}
	a := newOrganisation("a", "k1", "k2")
	cases := []struct {
		name, path string
		second     *catalogpb.Organisation
	}{
		{"key of two organisations", "organisations[1].api_keys[1]", newOrganisation("b", "k3", "k2")},
		{"duplicate name", "organisations[1].name", newOrganisation("a", "k3")},
		{"no name", "organisations[1].name", newOrganisation("", "k3")},
		{"name that would end the header", "organisations[1].name", newOrganisation("b\r\nX: y", "k3")},
		{"name with a space at its end", "organisations[1].name", newOrganisation("b ", "k3")},
		{"empty key", "organisations[1].api_keys[1]", newOrganisation("b", "k3", "")},
		{"short digest", "organisations[1].api_keys[0]", &catalogpb.Organisation{Name: "b", KeyDigests: [][]byte{{1}}}},
		{"negative rate", "organisations[1].rate_per_s", limited(-1, 0)},
		{"rate is no number", "organisations[1].rate_per_s", limited(math.NaN(), 0)},
		{"negative burst", "organisations[1].burst", limited(0, -0.5)},
		{"infinite burst", "organisations[1].burst", limited(0, math.Inf(1))},
		{"valid", "", newOrganisation("b", "k3", "k3")},
		{"no keys", "", limited(303, 303)},
	}
	for _, c := range cases {
		m := &testMachine{t: t, Catalog: New()}
		s := testState(1, "r")
		s.Organisations = []*catalogpb.Organisation{a, c.second}
		result := m.putState(s)
		if c.path == "" {
			assert.Assert(t, result.(*catalogpb.DesiredStateResult).Applied, c.name)
			continue
		}
		err := result.(CommandResult).Err
		assert.Equal(t, err.Kind, fault.InvalidChange, c.name)
		assert.Assert(t, strings.HasPrefix(err.Detail, c.path+" "), "%s: %s", c.name, err.Detail)
		assert.Equal(t, m.Config().StateVersion, uint64(0), c.name)
	}
}

// TestProofOrganisationsAreThoseOfTheHighestVersion draws the states of two operators
// that race, also under the same version, with keys that move, are removed and come
// back, and restores from snapshots of older times. Each control VM must hold the
// organisations of the text that it returns on reads, and gateways that apply
// differences, also over several versions, must hold the same.
func TestProofOrganisationsAreThoseOfTheHighestVersion(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &testMachine{t: t, Catalog: New()}
		gateway := m.Config()
		states := make(map[string][]*catalogpb.Organisation)
		var snapshot []byte
		var logged [][]byte
		for step := range rapid.IntRange(1, 12).Draw(rt, "steps") {
			s := testState(uint64(rapid.IntRange(1, 8).Draw(rt, "version")), "r")
			s.Source = []byte(fmt.Sprint("text of step ", step))
			for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3, rapid.ID).Draw(rt, "names") {
				o := &catalogpb.Organisation{Name: name}
				for k := range rapid.IntRange(0, 2).Draw(rt, "keys") {
					d := organisation.DigestOf(fmt.Sprint(name, k+rapid.IntRange(0, 1).Draw(rt, "shift")))
					o.KeyDigests = append(o.KeyDigests, d[:])
				}
				s.Organisations = append(s.Organisations, o)
			}
			packed, err := CompressSource(s)
			assert.NilError(rt, err)
			data, err := proto.Marshal(&catalogpb.Command{Kind: &catalogpb.Command_PutState{PutState: packed}})
			assert.NilError(rt, err)
			logged = append(logged, data)
			m.Apply(uint64(len(logged)), data)
			states[string(s.Source)] = s.Organisations
			if rapid.Bool().Draw(rt, "send") {
				data, err := proto.Marshal(Delta(gateway, m.Config()))
				assert.NilError(rt, err)
				delta := &catalogpb.ConfigDelta{}
				assert.NilError(rt, proto.Unmarshal(data, delta))
				gateway, err = Patch(gateway, delta)
				assert.NilError(rt, err)
				assert.DeepEqual(t, keysByName(gateway.Organisations), keysByName(m.Config().Organisations))
			}
			if rapid.Bool().Draw(rt, "snapshot") {
				snapshot, err = m.Snapshot()
				assert.NilError(rt, err)
			}
		}
		// A control VM that comes back with an old disk applies the rest of the log.
		restored := New()
		if snapshot != nil {
			assert.NilError(rt, restored.Restore(snapshot))
		}
		for i := restored.Index(); i < uint64(len(logged)); i++ {
			restored.Apply(i+1, logged[i])
		}
		for _, c := range []*Catalog{m.Catalog, restored} {
			_, source := c.StateSource()
			assert.DeepEqual(t, keysByName(c.Config().Organisations), keysByName(states[sourceText(t, source)]))
		}
	})
}

// keysByName returns the digests of the keys by the name of the organisation.
func keysByName(list []*catalogpb.Organisation) map[string]string {
	m := make(map[string]string)
	for _, o := range list {
		m[o.Name] = fmt.Sprintf("%x", o.KeyDigests)
	}
	return m
}

// TestDiffNamesNoKeys guards against keys, or digests of short ones, on the terminal
// and in the log of an operator.
func TestDiffNamesNoKeys(t *testing.T) {
	m := &testMachine{t: t, Catalog: New()}
	s := testState(1, "r")
	s.Organisations = []*catalogpb.Organisation{newOrganisation("a", "k1"), newOrganisation("b", "k2")}
	m.putState(s)
	next := testState(2, "r")
	next.Organisations = []*catalogpb.Organisation{newOrganisation("b"), newOrganisation("c", "k1")}
	r := m.putState(next).(*catalogpb.DesiredStateResult)
	assert.DeepEqual(t, r.Diff[:3], []string{
		"- organisation a", "~ organisation b: keys=0 rate_per_s=0 burst=0", "+ organisation c: keys=1 rate_per_s=0 burst=0",
	})
}
