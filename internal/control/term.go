package control

import (
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/acceptance"
	"balsamcourse.example/balsamcourse/internal/catalog"
	"balsamcourse.example/balsamcourse/internal/freshness"
)

// term is the state of one term as leader.
type term struct {
	number  uint64
	since   time.Duration
	tracker *acceptance.Tracker
	config  *catalogpb.Config
	history history
	// heard holds what each entry VM last reported, by id.
	heard   map[string]*heard
	held    []*renewal
	waiters []*waiter

	proposing      bool
	lastRegistered time.Duration
	nextPlan       time.Duration
	// planned holds the inputs of the last plan that moved nothing.
	planned planInputs
}

// heard is the last report of one entry VM.
type heard struct {
	entry    *catalogpb.Entry
	revision uint64
	at       time.Duration
	answers  int
	// newsAt is when it was last sent a configuration.
	newsAt time.Duration
}

func newTerm(number uint64, since time.Duration, cfg *catalogpb.Config) *term {
	t := &term{
		number:  number,
		since:   since,
		tracker: acceptance.New(since, revisionOf(cfg)),
		config:  cfg,
		heard:   make(map[string]*heard),
	}
	t.history.add(cfg)
	return t
}

// publish takes cfg into force. It reports false when it is not newer.
func (t *term) publish(cfg *catalogpb.Config) bool {
	if cfg.Revision <= t.config.Revision {
		return false
	}
	t.forgetRemoved(cfg)
	t.config = cfg
	t.history.add(cfg)
	t.tracker.Publish(revisionOf(cfg))
	return true
}

// forgetRemoved drops the reports of entry VMs that cfg has no more. One that
// still runs registers again by its next renewal.
func (t *term) forgetRemoved(cfg *catalogpb.Config) {
	kept := make(map[string]bool, len(cfg.Entries))
	for _, e := range cfg.Entries {
		kept[e.Id] = true
	}
	for _, e := range t.config.Entries {
		if !kept[e.Id] {
			delete(t.heard, e.Id)
		}
	}
}

func revisionOf(cfg *catalogpb.Config) acceptance.Revision {
	return acceptance.Revision{
		Number:      cfg.Revision,
		Set:         keysOf(catalog.EntryKeys(cfg)),
		SetRevision: cfg.SetRevision,
		PreviousSet: keysOf(cfg.PreviousSet),
	}
}

func keysOf(list []*catalogpb.EntryKey) []freshness.EntryKey {
	keys := make([]freshness.EntryKey, len(list))
	for i, k := range list {
		keys[i] = freshness.EntryKey{ID: k.Id, ClusterAddress: k.ClusterAddress, Region: k.Region}
	}
	return keys
}

func keyOf(e *catalogpb.Entry) freshness.EntryKey {
	return freshness.EntryKey{ID: e.Id, ClusterAddress: e.ClusterAddress, Region: e.Region}
}

// registered returns the entry of the configuration with the given id, or nil.
func (t *term) registered(id string) *catalogpb.Entry {
	for _, e := range t.config.Entries {
		if e.Id == id {
			return e
		}
	}
	return nil
}

// complete fills in the registered description of an entry VM that sent only
// its id and incarnation. It reports false when that incarnation is not known.
func (t *term) complete(req *clusterpb.RenewRequest) bool {
	if req.Entry.ClusterAddress != "" {
		return true
	}
	known := t.registered(req.Entry.Id)
	if known == nil || known.Incarnation != req.Entry.Incarnation {
		return false
	}
	req.Entry = known
	return true
}

// record notes a report. It reports false for one of an older incarnation.
func (t *term) record(now time.Duration, r *renewal) bool {
	e := r.request.Entry
	h := t.heard[e.Id]
	if h != nil && e.Incarnation < h.entry.Incarnation {
		return false
	}
	if known := t.registered(e.Id); known != nil && e.Incarnation < known.Incarnation {
		return false
	}
	if h == nil {
		h = &heard{}
		t.heard[e.Id] = h
	}
	if h.entry == nil || e.Incarnation > h.entry.Incarnation || !h.entry.Leaving {
		h.entry = e
	}
	h.revision = r.request.Revision
	h.at = now
	quiet := time.Duration(r.request.QuietMs) * time.Millisecond
	t.tracker.Ack(r.received, keyOf(e), r.request.Revision, quiet)
	t.tracker.Learn(r.request.AcceptedRevision, e.Region)
	return true
}
