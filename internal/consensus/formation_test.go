package consensus

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// forming returns how many replicas have not formed their group yet.
func (s *sim) forming() int {
	n := 0
	for _, node := range s.running() {
		if node.r.role == Forming {
			n++
		}
	}
	return n
}

// TestGroupFormsWhenAFounderIsLostEarly ends a replica for good as soon as two of
// three have formed the group. The two that remain are a majority and must elect a
// leader, although one of them has never heard from the lost one that it was recorded.
func TestGroupFormsWhenAFounderIsLostEarly(t *testing.T) {
	lost := 0
	for seed := range uint64(200) {
		s := newSim(3, seed, 0)
		s.networkFaults.maxDelay = 100 * time.Millisecond
		for s.forming() > 1 {
			s.advance(simTick)
		}
		if s.forming() == 0 {
			continue
		}
		lost++
		for _, n := range s.nodes {
			if n.r.role != Forming {
				s.crash(n)
				break
			}
		}
		s.advance(5 * time.Second)
		assert.Assert(t, s.leader() != nil, "seed %d", seed)
		assert.Equal(t, s.checker.violation, "")
	}
	assert.Assert(t, lost >= 20, "only %d histories lose a founder", lost)
}

// TestReplacedFounderNeverTakesPartWithBothDisks replaces the disk of one founder at a
// random time during the formation, while links are cut at random. At most one of the two
// disks may take part, whatever the others have recorded.
func TestReplacedFounderNeverTakesPartWithBothDisks(t *testing.T) {
	both := 0
	for seed := range uint64(1000) {
		for _, disabled := range []safetyRule{0, ruleDiskIdentity} {
			s := newSim(3, seed, disabled)
			s.networkFaults.maxDelay = 100 * time.Millisecond
			cut := func() {
				clear(s.cutLinks)
				for from := uint64(1); from <= 3; from++ {
					for to := uint64(1); to <= 3; to++ {
						s.cutLinks[[2]uint64{from, to}] = s.rng.IntN(3) == 0
					}
				}
			}
			steps := 1 + s.rng.IntN(30)
			for range steps {
				cut()
				s.advance(simTick)
			}
			n := s.node(2)
			took := n.r.role != Forming
			s.crash(n)
			s.replaceDisk(n)
			s.start(n)
			for range 100 {
				cut()
				s.advance(simTick)
			}
			clear(s.cutLinks)
			s.advance(time.Second)
			if took && n.r.role != Forming {
				assert.Assert(t, disabled != 0, "seed %d: both disks of replica 2 take part", seed)
				both++
			}
		}
	}
	assert.Assert(t, both > 0, "no history needs the rule")
}
