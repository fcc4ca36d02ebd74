package identity

import (
	"testing"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/storage"
)

var seeds = []string{"10.3.0.1:7000", "10.1.0.1:7000", "10.2.0.1:7000"}

func TestSeedFoundsGroupOnlyOnFirstStart(t *testing.T) {
	cases := []struct {
		name  string
		start BootstrapOptions
		id    uint64
		joins bool
	}{
		{"first seed by address", BootstrapOptions{FirstStart: true, SelfAddress: "10.1.0.1:7000", Seeds: seeds}, 1, false},
		{"last seed by address", BootstrapOptions{FirstStart: true, SelfAddress: "10.3.0.1:7000", Seeds: seeds}, 3, false},
		{"not a seed", BootstrapOptions{FirstStart: true, SelfAddress: "10.4.0.1:7000", Seeds: seeds}, minJoiningID + 7, true},
		{"seed that lost its disk", BootstrapOptions{SelfAddress: "10.1.0.1:7000", Seeds: seeds}, minJoiningID + 7, true},
	}
	for _, c := range cases {
		got := Decide(c.start, 7)
		assert.Equal(t, got.ReplicaID, c.id, c.name)
		assert.Equal(t, got.Joins(), c.joins, c.name)
	}
}

func TestFoundersAgreeForAnyOrderOfSeeds(t *testing.T) {
	a := Decide(BootstrapOptions{FirstStart: true, SelfAddress: seeds[0], Seeds: seeds}, 0)
	b := Decide(BootstrapOptions{FirstStart: true, SelfAddress: seeds[1], Seeds: []string{seeds[1], seeds[2], seeds[0]}}, 0)
	assert.DeepEqual(t, a.Founders, b.Founders)
	assert.Assert(t, a.ReplicaID != b.ReplicaID)
}

func TestStoredIdentityIsKeptWhenSeedsChange(t *testing.T) {
	dir := t.TempDir()
	first, err := Load(storage.OSFS{}, dir, BootstrapOptions{FirstStart: true, SelfAddress: seeds[0], Seeds: seeds})
	assert.NilError(t, err)
	again, err := Load(storage.OSFS{}, dir, BootstrapOptions{SelfAddress: seeds[0], Seeds: []string{"10.9.0.1:7000"}})
	assert.NilError(t, err)
	assert.DeepEqual(t, first, again)
	assert.Assert(t, !again.Joins())
}

func TestReplicaWithLostDiskJoinsUnderNewID(t *testing.T) {
	first, err := Load(storage.OSFS{}, t.TempDir(), BootstrapOptions{FirstStart: true, SelfAddress: seeds[0], Seeds: seeds})
	assert.NilError(t, err)
	second, err := Load(storage.OSFS{}, t.TempDir(), BootstrapOptions{SelfAddress: seeds[0], Seeds: seeds})
	assert.NilError(t, err)
	assert.Assert(t, second.Joins())
	assert.Assert(t, first.ReplicaID != second.ReplicaID)
}
