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
	"balsamcourse.example/balsamcourse/internal/proptest"
)

// disabledRules selects rules of the catalog that a test disables.
type disabledRules struct {
	dropResultsOnRestore   bool // a restart loses the results of earlier changes
	ignoreOperator         bool // changes of different operators with the same number share an id
	ignoreContent          bool // a change with a known id counts as a resend whatever its content
	ignoreExpectedRevision bool // the expected revision is not compared
}

// firstResult is the first change sent under an id and its result.
type firstResult struct {
	change *catalogpb.OperatorChange
	result *catalogpb.ChangeResult
}

// randomHistory applies a random log of operators' changes to two replicas, one
// of which restarts from its snapshot from time to time, and compares their
// results with those of a model.
type randomHistory struct {
	intn           func(int) int
	disabled       disabledRules
	index          uint64
	neverRestarted *Catalog
	restarted      *Catalog
	// firstResults, zoneStates and revision are the model.
	firstResults map[string]firstResult
	zoneStates   map[string]catalogpb.ZoneState
	revision     uint64
	sent         []*catalogpb.OperatorChange
}

func newRandomHistory(intn func(int) int, disabled disabledRules) *randomHistory {
	return &randomHistory{
		intn: intn, disabled: disabled, neverRestarted: New(), restarted: New(),
		firstResults: map[string]firstResult{}, zoneStates: map[string]catalogpb.ZoneState{},
	}
}

// drawOperatorChange returns a random change: a new one, an earlier one sent
// again, or a different one under an id that was used before.
func (h *randomHistory) drawOperatorChange() *catalogpb.OperatorChange {
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

func (h *randomHistory) drawChange() *catalogpb.Change {
	zone := string(rune('a' + h.intn(3)))
	if h.intn(3) == 0 {
		return putZoneChange(zone)
	}
	return setZoneStateChange(zone, catalogpb.ZoneState(1+h.intn(4)))
}

func (h *randomHistory) step() error {
	if h.intn(5) == 0 {
		return h.restart()
	}
	oc := h.drawOperatorChange()
	sent := proto.CloneOf(oc)
	h.disableRules(sent)
	data, err := proto.Marshal(&catalogpb.Command{Kind: &catalogpb.Command_OperatorChange{OperatorChange: sent}})
	if err != nil {
		return err
	}
	h.index++
	first := h.neverRestarted.Apply(h.index, data).(*catalogpb.ChangeResult)
	second := h.restarted.Apply(h.index, data).(*catalogpb.ChangeResult)
	if !proto.Equal(first, second) {
		return fmt.Errorf("replicas returned different results: %v and %v", first, second)
	}
	if err := h.checkResult(oc, first); err != nil {
		return err
	}
	return h.checkZoneStates()
}

// disableRules modifies the change that is sent, or the recorded changes, so that
// the replicas behave as if the disabled rules did not exist.
func (h *randomHistory) disableRules(sent *catalogpb.OperatorChange) {
	if h.disabled.ignoreOperator {
		sent.Id.Operator = "a"
	}
	if h.disabled.ignoreExpectedRevision {
		sent.ExpectedOperatorRevision = 0
	}
	if !h.disabled.ignoreContent {
		return
	}
	for _, c := range []*Catalog{h.neverRestarted, h.restarted} {
		if r := c.changes.find(sent.Id); r != nil {
			r.ContentHash = contentHash(sent)
		}
	}
}

func (h *randomHistory) restart() error {
	data, err := h.restarted.Snapshot()
	if err != nil {
		return err
	}
	h.restarted = New()
	if err := h.restarted.Restore(data); err != nil {
		return err
	}
	if h.disabled.dropResultsOnRestore {
		h.restarted.changes = newChangeHistory()
		return nil
	}
	want, err := h.neverRestarted.Snapshot()
	if err != nil {
		return err
	}
	if !bytes.Equal(data, want) {
		return fmt.Errorf("snapshots of the replicas differ at index %d", h.index)
	}
	return nil
}

// checkResult compares a result with the model: a resend gets the first result
// of its id, and a different change under a used id is a conflict.
func (h *randomHistory) checkResult(oc *catalogpb.OperatorChange, got *catalogpb.ChangeResult) error {
	id := fmt.Sprintf("%s/%d", oc.Id.Operator, oc.Id.Number)
	known, ok := h.firstResults[id]
	switch {
	case ok && proto.Equal(known.change, oc):
		if !proto.Equal(known.result, got) {
			return fmt.Errorf("resend of change %s returned %v, want the first result %v", id, got, known.result)
		}
		return nil
	case ok:
		if got.Outcome != conflict {
			return fmt.Errorf("different change under used id %s returned %v, want a conflict", id, got)
		}
		return nil
	}
	h.firstResults[id] = firstResult{proto.CloneOf(oc), proto.CloneOf(got)}
	if want := h.expectedOutcome(oc); got.Outcome != want {
		return fmt.Errorf("change %s (%v) returned %v, want %v", id, oc.Change, got.Outcome, want)
	}
	return nil
}

// expectedOutcome applies a change to the model and returns its outcome.
func (h *randomHistory) expectedOutcome(oc *catalogpb.OperatorChange) catalogpb.ChangeOutcome {
	if e := oc.ExpectedOperatorRevision; e != 0 && e != h.revision {
		return stale
	}
	name, to := oc.Change.GetPutZone().GetName(), catalogpb.ZoneState_ZONE_STATE_IN
	from, exists := h.zoneStates[oc.Change.GetSetZoneState().GetZone()]
	if name == "" {
		name, to = oc.Change.GetSetZoneState().GetZone(), oc.Change.GetSetZoneState().GetState()
		if !exists || from != to && !isAllowedZoneChange(from, to) {
			return invalidOutcome
		}
	} else if _, there := h.zoneStates[name]; there {
		return applied
	}
	if h.zoneStates[name] != to {
		h.zoneStates[name] = to
		h.revision++
	}
	return applied
}

// isAllowedZoneChange reports whether an availability zone may change between the
// given states.
func isAllowedZoneChange(from, to catalogpb.ZoneState) bool {
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

func (h *randomHistory) checkZoneStates() error {
	cfg := h.neverRestarted.Config()
	if cfg.OperatorRevision != h.revision {
		return fmt.Errorf("operator revision %d, want %d", cfg.OperatorRevision, h.revision)
	}
	for _, z := range cfg.Zones {
		if h.zoneStates[z.Name] != z.State {
			return fmt.Errorf("zone %s is %v, want %v", z.Name, z.State, h.zoneStates[z.Name])
		}
	}
	return nil
}

const testSteps = 80

// Each operator's change has exactly one result, also when it is sent again and
// after a replica has restarted from its snapshot.
func TestProofEachChangeHasOneResult(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		h := newRandomHistory(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "choice") }, disabledRules{})
		for range testSteps {
			assert.NilError(rt, h.step())
		}
	})
}

// If any one of the rules is disabled, the checks of randomHistory fail.
func TestEachDisabledChangeRuleIsDetected(t *testing.T) {
	for name, disabled := range map[string]disabledRules{
		"results survive a restart":     {dropResultsOnRestore: true},
		"ids include the operator":      {ignoreOperator: true},
		"content is compared":           {ignoreContent: true},
		"expected revision is compared": {ignoreExpectedRevision: true},
	} {
		h := newRandomHistory(rand.New(rand.NewPCG(1, 1)).IntN, disabled)
		var err error
		for i := 0; i < 10*testSteps && err == nil; i++ {
			err = h.step()
		}
		assert.Assert(t, err != nil, name)
		t.Logf("%s: %v", name, err)
	}
}
