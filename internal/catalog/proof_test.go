package catalog

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/proof"
)

// off switches single rules off.
type off struct {
	forgetOnRestore bool // a restart loses the results of changes
	mergeOperators  bool // ids of all operators collide
	ignoreContent   bool // a resend is known by its id alone
	ignoreExpected  bool // the expected revision is not compared
}

// answered is what the oracle remembers of a change id.
type answered struct {
	change *catalogpb.OperatorChange
	result *catalogpb.ChangeResult
}

// history runs two replicas over one log and an oracle beside them. The
// second replica restarts from its snapshot now and then.
type history struct {
	intn     func(int) int
	off      off
	index    uint64
	steady   *Catalog
	restarts *Catalog
	answers  map[string]answered
	states   map[string]catalogpb.ZoneState
	revision uint64
	sent     []*catalogpb.OperatorChange
}

func newHistory(intn func(int) int, o off) *history {
	return &history{
		intn: intn, off: o, steady: New(), restarts: New(),
		answers: map[string]answered{}, states: map[string]catalogpb.ZoneState{},
	}
}

// draw returns a new change, an earlier one, or another one under an old id.
func (h *history) draw() *catalogpb.OperatorChange {
	if len(h.sent) > 0 && h.intn(4) == 0 {
		return h.sent[h.intn(len(h.sent))]
	}
	oc := &catalogpb.OperatorChange{
		Id:     &catalogpb.ChangeID{Operator: string(rune('a' + h.intn(2))), Number: uint64(1 + h.intn(20))},
		Change: h.drawChange(),
	}
	if h.intn(3) == 0 {
		oc.ExpectedOperatorRevision = uint64(h.intn(6))
	}
	h.sent = append(h.sent, oc)
	return oc
}

func (h *history) drawChange() *catalogpb.Change {
	zone := string(rune('a' + h.intn(3)))
	if h.intn(3) == 0 {
		return putZoneChange(zone)
	}
	return zoneState(zone, catalogpb.ZoneState(1+h.intn(4)))
}

func (h *history) step() error {
	if h.intn(5) == 0 {
		return h.restart()
	}
	oc := h.draw()
	sent := proto.CloneOf(oc)
	h.distort(sent)
	data, err := proto.Marshal(&catalogpb.Command{Kind: &catalogpb.Command_OperatorChange{OperatorChange: sent}})
	if err != nil {
		return err
	}
	h.index++
	first := h.steady.Apply(h.index, data).(*catalogpb.ChangeResult)
	second := h.restarts.Apply(h.index, data).(*catalogpb.ChangeResult)
	if !proto.Equal(first, second) {
		return fmt.Errorf("replicas answer %v and %v", first, second)
	}
	if err := h.compare(oc, first); err != nil {
		return err
	}
	return h.compareStates()
}

// distort makes the catalog see what it would without a rule.
func (h *history) distort(sent *catalogpb.OperatorChange) {
	if h.off.mergeOperators {
		sent.Id.Operator = "a"
	}
	if h.off.ignoreExpected {
		sent.ExpectedOperatorRevision = 0
	}
	if !h.off.ignoreContent {
		return
	}
	for _, c := range []*Catalog{h.steady, h.restarts} {
		if r := c.changes.find(sent.Id); r != nil {
			r.ContentHash = contentHash(sent)
		}
	}
}

func (h *history) restart() error {
	data, err := h.restarts.Snapshot()
	if err != nil {
		return err
	}
	h.restarts = New()
	if err := h.restarts.Restore(data); err != nil {
		return err
	}
	if h.off.forgetOnRestore {
		h.restarts.changes = newChangeLog()
		return nil
	}
	want, err := h.steady.Snapshot()
	if err != nil {
		return err
	}
	if !bytes.Equal(data, want) {
		return fmt.Errorf("snapshots differ at index %d", h.index)
	}
	return nil
}

// compare checks a result against the oracle: one answer for each id.
func (h *history) compare(oc *catalogpb.OperatorChange, got *catalogpb.ChangeResult) error {
	id := fmt.Sprintf("%s/%d", oc.Id.Operator, oc.Id.Number)
	known, ok := h.answers[id]
	switch {
	case ok && proto.Equal(known.change, oc):
		if !proto.Equal(known.result, got) {
			return fmt.Errorf("resend of %s got %v, first %v", id, got, known.result)
		}
		return nil
	case ok:
		if got.Outcome != conflict {
			return fmt.Errorf("another change under %s got %v", id, got)
		}
		return nil
	}
	h.answers[id] = answered{proto.CloneOf(oc), proto.CloneOf(got)}
	if want := h.expect(oc); got.Outcome != want {
		return fmt.Errorf("%s %v got %v, want %v", id, oc.Change, got.Outcome, want)
	}
	return nil
}

// expect executes a change in the oracle.
func (h *history) expect(oc *catalogpb.OperatorChange) catalogpb.ChangeOutcome {
	if e := oc.ExpectedOperatorRevision; e != 0 && e != h.revision {
		return stale
	}
	name, to := oc.Change.GetPutZone().GetName(), catalogpb.ZoneState_ZONE_STATE_IN
	from, exists := h.states[oc.Change.GetSetZoneState().GetZone()]
	if name == "" {
		name, to = oc.Change.GetSetZoneState().GetZone(), oc.Change.GetSetZoneState().GetState()
		if !exists || from != to && !allowed(from, to) {
			return refused
		}
	} else if _, there := h.states[name]; there {
		return applied
	}
	if h.states[name] != to {
		h.states[name] = to
		h.revision++
	}
	return applied
}

// allowed lists the moves of an availability zone between its states.
func allowed(from, to catalogpb.ZoneState) bool {
	const in, leaving, out, returning = catalogpb.ZoneState_ZONE_STATE_IN, catalogpb.ZoneState_ZONE_STATE_LEAVING, catalogpb.ZoneState_ZONE_STATE_OUT, catalogpb.ZoneState_ZONE_STATE_RETURNING
	switch from {
	case in:
		return to == leaving || to == out
	case leaving:
		return to == out || to == returning
	case out:
		return to == returning
	}
	return true
}

func (h *history) compareStates() error {
	cfg := h.steady.Config()
	if cfg.OperatorRevision != h.revision {
		return fmt.Errorf("operator revision %d, want %d", cfg.OperatorRevision, h.revision)
	}
	for _, z := range cfg.Zones {
		if h.states[z.Name] != z.State {
			return fmt.Errorf("zone %s is %v, want %v", z.Name, z.State, h.states[z.Name])
		}
	}
	return nil
}

const historySteps = 80

// TestProofOneAnswerPerChange compares two replicas with an oracle.
func TestProofOneAnswerPerChange(t *testing.T) {
	proof.Check(t, func(rt *rapid.T) {
		h := newHistory(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "choice") }, off{})
		for range historySteps {
			assert.NilError(rt, h.step())
		}
	})
}

func TestEachChangeRuleIsNeeded(t *testing.T) {
	for name, o := range map[string]off{
		"results survive a restart": {forgetOnRestore: true},
		"operators are told apart":  {mergeOperators: true},
		"content is compared":       {ignoreContent: true},
		"expected revision":         {ignoreExpected: true},
	} {
		h := newHistory(rand.New(rand.NewPCG(1, 1)).IntN, o)
		var err error
		for i := 0; i < 10*historySteps && err == nil; i++ {
			err = h.step()
		}
		assert.Assert(t, err != nil, name)
		t.Logf("%s: %v", name, err)
	}
}
