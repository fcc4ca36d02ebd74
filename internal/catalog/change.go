package catalog

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// applyChange executes an operator's change at most once. A change that is sent
// again under the same id gets the result of the first execution.
// The result is a CommandResult if the change is based on an outdated state: it is not
// recorded then, so that the same change can be sent again.
func (c *Catalog) applyChange(index uint64, change *catalogpb.OperatorChange) any {
	if result := c.resultForID(change); result != nil {
		return result
	}
	if err := c.outdatedChange(index, change); err != nil {
		return c.reject(err)
	}
	next, result := evaluate(c.Config(), index, change)
	if next != nil {
		next.OperatorRevision++
		next.Revision = index
		c.config.Store(next)
	}
	record := &catalogpb.ChangeRecord{
		Id:          change.Id,
		ContentHash: contentHash(change),
		Result:      result,
	}
	if change.BaseRevision != 0 {
		record.Object, record.Index = changeObject(change.Change), index
	}
	c.changes.add(record)
	return result
}

// DryRun returns the result that change would have now, without executing it.
func (c *Catalog) DryRun(change *catalogpb.OperatorChange) *catalogpb.ChangeResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	if result := c.resultForID(change); result != nil {
		return result
	}
	_, result := evaluate(c.Config(), c.Index()+1, change)
	return result
}

// resultForID returns the result of a change that is not to be executed: one
// with an incomplete id, or with an id that was used before. It returns nil for
// a new id.
func (c *Catalog) resultForID(change *catalogpb.OperatorChange) *catalogpb.ChangeResult {
	if change.Id.GetOperator() == "" || change.Id.GetNumber() == 0 {
		return c.rejectChange(catalogpb.ChangeOutcome_CHANGE_OUTCOME_INVALID, fmt.Sprintf("change id has operator %q and number %d; both are required", change.Id.GetOperator(), change.Id.GetNumber()))
	}
	if record := c.changes.find(change.Id); record != nil {
		if record.ContentHash == contentHash(change) {
			return record.Result
		}
		return c.rejectChange(catalogpb.ChangeOutcome_CHANGE_OUTCOME_CONFLICT, fmt.Sprintf("change id %s was already used for a different change", formatChangeID(change.Id)))
	}
	if c.changes.expired(change.Id) {
		return c.rejectChange(catalogpb.ChangeOutcome_CHANGE_OUTCOME_EXPIRED, fmt.Sprintf("change id %s is older than the retained ids", formatChangeID(change.Id)))
	}
	return nil
}

func formatChangeID(id *catalogpb.ChangeID) string {
	return fmt.Sprintf("%s/%d", id.Operator, id.Number)
}

func (c *Catalog) rejectChange(outcome catalogpb.ChangeOutcome, detail string) *catalogpb.ChangeResult {
	return rejectedResult(c.Config(), outcome, detail)
}

func rejectedResult(cfg *catalogpb.Config, outcome catalogpb.ChangeOutcome, detail string) *catalogpb.ChangeResult {
	return &catalogpb.ChangeResult{
		Outcome:          outcome,
		Revision:         cfg.Revision,
		OperatorRevision: cfg.OperatorRevision,
		Detail:           detail,
	}
}

// evaluate returns the configuration after change and the result of the change.
// The configuration is nil if the change is rejected or has no effect.
func evaluate(cfg *catalogpb.Config, index uint64, change *catalogpb.OperatorChange) (*catalogpb.Config, *catalogpb.ChangeResult) {
	expected := change.ExpectedOperatorRevision
	if expected != 0 && expected != cfg.OperatorRevision {
		return nil, rejectedResult(cfg, catalogpb.ChangeOutcome_CHANGE_OUTCOME_STALE, fmt.Sprintf("expected operator revision %d, current is %d", expected, cfg.OperatorRevision))
	}
	next := shallowCopy(cfg)
	if err := editConfig(next, change.Change); err != nil {
		return nil, rejectedResult(cfg, catalogpb.ChangeOutcome_CHANGE_OUTCOME_INVALID, err.Detail)
	}
	result := &catalogpb.ChangeResult{
		Outcome:          catalogpb.ChangeOutcome_CHANGE_OUTCOME_APPLIED,
		Revision:         cfg.Revision,
		OperatorRevision: cfg.OperatorRevision,
		Diff:             Diff(cfg, next),
	}
	if len(result.Diff) == 0 {
		result.Detail = "configuration already has this content"
		return nil, result
	}
	result.Revision = index
	result.OperatorRevision++
	return next, result
}

// contentHash returns a hash of a change without its id.
func contentHash(change *catalogpb.OperatorChange) uint64 {
	content := &catalogpb.OperatorChange{
		ExpectedOperatorRevision: change.ExpectedOperatorRevision,
		Change:                   change.Change,
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(content)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}
