package catalog

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// applyChange executes an operator's change once. A resend gets the result of
// the first execution.
func (c *Catalog) applyChange(index uint64, change *catalogpb.OperatorChange) *catalogpb.ChangeResult {
	if result := c.known(change); result != nil {
		return result
	}
	next, result := evaluate(c.Config(), index, change)
	if next != nil {
		next.OperatorRevision++
		next.Revision = index
		c.config.Store(next)
	}
	c.changes.add(&catalogpb.ChangeRecord{
		Id:          change.Id,
		ContentHash: contentHash(change),
		Result:      result,
	})
	return result
}

// DryRun returns the result that change would have now, and changes nothing.
func (c *Catalog) DryRun(change *catalogpb.OperatorChange) *catalogpb.ChangeResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	if result := c.known(change); result != nil {
		return result
	}
	_, result := evaluate(c.Config(), c.Index()+1, change)
	return result
}

// known returns the result for an id that was used before, or nil.
func (c *Catalog) known(change *catalogpb.OperatorChange) *catalogpb.ChangeResult {
	if change.Id.GetOperator() == "" || change.Id.GetNumber() == 0 {
		return c.unchanged(catalogpb.ChangeOutcome_CHANGE_OUTCOME_INVALID, "the change id needs an operator and a number")
	}
	if record := c.changes.find(change.Id); record != nil {
		if record.ContentHash == contentHash(change) {
			return record.Result
		}
		return c.unchanged(catalogpb.ChangeOutcome_CHANGE_OUTCOME_CONFLICT, "the change id was used for another change")
	}
	if c.changes.expired(change.Id) {
		return c.unchanged(catalogpb.ChangeOutcome_CHANGE_OUTCOME_EXPIRED, "the change id is older than the retained ids")
	}
	return nil
}

func (c *Catalog) unchanged(outcome catalogpb.ChangeOutcome, detail string) *catalogpb.ChangeResult {
	return failed(c.Config(), outcome, detail)
}

func failed(cfg *catalogpb.Config, outcome catalogpb.ChangeOutcome, detail string) *catalogpb.ChangeResult {
	return &catalogpb.ChangeResult{
		Outcome:          outcome,
		Revision:         cfg.Revision,
		OperatorRevision: cfg.OperatorRevision,
		Detail:           detail,
	}
}

// evaluate returns the configuration after change, or nil when it changes
// nothing, and the result.
func evaluate(cfg *catalogpb.Config, index uint64, change *catalogpb.OperatorChange) (*catalogpb.Config, *catalogpb.ChangeResult) {
	expected := change.ExpectedOperatorRevision
	if expected != 0 && expected != cfg.OperatorRevision {
		return nil, failed(cfg, catalogpb.ChangeOutcome_CHANGE_OUTCOME_STALE, "the expected operator revision is not the current one")
	}
	next := draft(cfg)
	if err := edit(next, change.Change); err != nil {
		return nil, failed(cfg, catalogpb.ChangeOutcome_CHANGE_OUTCOME_INVALID, err.Detail)
	}
	result := &catalogpb.ChangeResult{
		Outcome:          catalogpb.ChangeOutcome_CHANGE_OUTCOME_APPLIED,
		Revision:         cfg.Revision,
		OperatorRevision: cfg.OperatorRevision,
		Diff:             Diff(cfg, next),
	}
	if len(result.Diff) == 0 {
		result.Detail = "the configuration already has this content"
		return nil, result
	}
	result.Revision = index
	result.OperatorRevision++
	return next, result
}

// contentHash identifies the content of a change apart from its id.
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
