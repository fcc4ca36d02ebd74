package control

import (
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/acceptance"
	"balsamcourse.example/balsamcourse/internal/catalog"
	"balsamcourse.example/balsamcourse/internal/freshness"
)

// term is the state that a leader keeps for one term.
type term struct {
	number      uint64
	leaderSince time.Duration
	tracker     *acceptance.Tracker
	config      *catalogpb.Config
	// newestAt is the time until which config was the newest one that this replica
	// had applied.
	newestAt time.Duration
	// entries holds the registered entry VMs of config by id.
	entries map[string]*catalogpb.Entry
	// reports holds the last report of each entry VM, by id.
	reports      map[string]*entryReport
	heldRenewals []*renewal
	waiters      []*acceptanceWaiter
	// advancedAt is the time of the last search for accepted revisions.
	advancedAt time.Duration

	proposing      bool
	lastRegistered time.Duration
	// startedTogether is the number of gateways registered in the last registrations
	// that followed each other within registrationDelay.
	startedTogether int
	nextPlan        time.Duration
	// lastEmptyPlan holds the inputs of the last cell assignment that changed
	// nothing.
	lastEmptyPlan cellPlanInputs
	lastState     statePublication
	// unacceptedSince is the time since which some revision has not been accepted;
	// valid while one is not.
	unacceptedSince time.Duration
	silent          silentCache
	restarts        restartTracker
	// isolated lists the entry VMs that have no way to any upstream, by id in order.
	// isolatedHash identifies the list; it is 0 if the list is empty.
	isolated     []string
	isolatedHash uint64
	rollouts     rolloutState
	convictions  convictionBatch
}

// entryReport is the last state that an entry VM reported.
type entryReport struct {
	entry      *catalogpb.Entry
	revision   uint64
	receivedAt time.Duration
	responses  int
	// configSentAt is the time at which it was last sent a configuration.
	configSentAt time.Duration
	// build is the commit of its program.
	build string
	// isolated is set while the entry VM has no way to any upstream.
	isolated bool
	// isolatedSentAt is the time at which it was last sent a list of such entry VMs
	// that it did not have.
	isolatedSentAt time.Duration
}

func newTerm(number uint64, since time.Duration, cfg *catalogpb.Config) *term {
	t := &term{
		number:      number,
		leaderSince: since,
		tracker:     acceptance.New(since, acceptanceRevision(cfg)),
		config:      cfg,
		// Until the entry VMs have reported, nothing is known to be accepted.
		unacceptedSince: since,
		reports:         make(map[string]*entryReport),
		restarts:        newRestartTracker(number, cfg),
		convictions:     newConvictionBatch(),
	}
	t.indexEntries(cfg.Entries)
	return t
}

// publish makes cfg the current configuration of the term. It reports false if
// cfg is not newer.
func (t *term) publish(now time.Duration, cfg *catalogpb.Config) bool {
	if cfg.Revision <= t.config.Revision {
		return false
	}
	if !sameSlice(t.config.Entries, cfg.Entries) {
		t.indexEntries(cfg.Entries)
		t.dropRemovedReports()
		t.silent = silentCache{}
		t.restarts.recordEntries(cfg)
		t.updateIsolated()
	}
	if cfg.StateVersion != t.config.StateVersion {
		t.lastState = statePublication{version: cfg.StateVersion, revision: cfg.Revision, at: now}
	}
	if t.tracker.Accepted() == t.config.Revision {
		t.unacceptedSince = now
	}
	t.config = cfg
	t.tracker.AddRevision(t.acceptanceRevision(cfg))
	return true
}

// sameSlice reports whether a and b share their items. Configurations share the
// slices that have not changed.
func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (t *term) indexEntries(list []*catalogpb.Entry) {
	t.entries = make(map[string]*catalogpb.Entry, len(list))
	for _, e := range list {
		t.entries[e.Id] = e
	}
}

// dropRemovedReports deletes the reports of entry VMs that were registered in
// the last configuration and are not in the new one. One that is still running
// registers again with its next renewal. The report of a process that has superseded
// the one removed is kept.
func (t *term) dropRemovedReports() {
	for _, e := range t.config.Entries {
		report := t.reports[e.Id]
		if t.entries[e.Id] == nil && report != nil && !supersedes(report.entry, e) {
			delete(t.reports, e.Id)
		}
	}
}

// acceptanceRevision returns the revision of cfg for the tracker. The sets are
// those of the current revision unless they have changed since.
func (t *term) acceptanceRevision(cfg *catalogpb.Config) acceptance.Revision {
	current := t.tracker.Current()
	if cfg.SetRevision != current.SetRevision {
		return acceptanceRevision(cfg)
	}
	current.Number = cfg.Revision
	return current
}

func acceptanceRevision(cfg *catalogpb.Config) acceptance.Revision {
	return acceptance.Revision{
		Number:      cfg.Revision,
		Set:         entryKeys(catalog.EntryKeys(cfg)),
		SetRevision: cfg.SetRevision,
		PreviousSet: entryKeys(cfg.PreviousSet),
	}
}

func entryKeys(list []*catalogpb.EntryKey) []freshness.EntryKey {
	keys := make([]freshness.EntryKey, len(list))
	for i, k := range list {
		keys[i] = freshness.EntryKey{ID: k.Id, ClusterAddress: k.ClusterAddress, Region: k.Region}
	}
	return keys
}

func entryKey(e *catalogpb.Entry) freshness.EntryKey {
	return freshness.EntryKey{ID: e.Id, ClusterAddress: e.ClusterAddress, Region: e.Region}
}

// registered returns the registered entry VM with the given id, or nil.
func (t *term) registered(id string) *catalogpb.Entry { return t.entries[id] }

// completeEntry replaces an entry that consists only of an id and an incarnation
// by the registered one. It reports false if that incarnation is not registered.
func (t *term) completeEntry(req *clusterpb.RenewRequest) bool {
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

// recordReport records the state reported by a renewal. It reports false if the
// renewal comes from an older incarnation.
func (t *term) recordReport(now time.Duration, r *renewal) bool {
	e := r.request.Entry
	report := t.reports[e.Id]
	if report != nil && e.Incarnation < report.entry.Incarnation {
		return false
	}
	if known := t.registered(e.Id); known != nil && e.Incarnation < known.Incarnation {
		return false
	}
	if report == nil {
		report = &entryReport{}
		t.reports[e.Id] = report
	}
	// An entry VM that has reported that it is leaving stays so until a newer
	// incarnation reports.
	if report.entry == nil || e.Incarnation > report.entry.Incarnation || !report.entry.Leaving {
		report.entry = e
	}
	report.revision = r.request.Revision
	report.build = r.request.Build
	if report.isolated != r.request.Isolated {
		report.isolated = r.request.Isolated
		t.updateIsolated()
	}
	report.receivedAt = now
	t.heardFrom(e.Id)
	quiet := time.Duration(r.request.QuietMs) * time.Millisecond
	t.tracker.RecordAck(r.received, entryKey(e), r.request.Revision, quiet)
	t.tracker.RecordAccepted(r.request.AcceptedRevision, e.Region)
	return true
}
