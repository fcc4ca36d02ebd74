package event

import "github.com/rs/zerolog"

// The catalogue of events. Numbers are grouped: 1xx process, 2xx control, 3xx
// entry and dispatch, 4xx calls and claims, 5xx access.
var (
	Started             = Event{100, "started", zerolog.InfoLevel, "process started", ""}
	Stopping            = Event{101, "stopping", zerolog.InfoLevel, "planned stop started", ""}
	Stopped             = Event{102, "stopped", zerolog.InfoLevel, "process stopped", ""}
	StoppedHard         = Event{103, "stopped_hard", zerolog.WarnLevel, "stopped immediately on a second signal; calls in flight were cut", "check whether the calls in flight ran"}
	ListenFailed        = Event{104, "listen_failed", zerolog.ErrorLevel, "cannot listen", "check the address settings"}
	Reloaded            = Event{105, "reloaded", zerolog.InfoLevel, "the changed settings file was reloaded", ""}
	ReloadFailed        = Event{106, "reload_failed", zerolog.ErrorLevel, "the changed settings file is not valid; the old settings stay in force", "correct the settings file"}
	RPCLoad             = Event{107, "rpc_load", zerolog.InfoLevel, "calls of other processes of the system in the last seconds, by method", ""}
	BecameLeader        = Event{200, "became_leader", zerolog.InfoLevel, "this replica became the leader", ""}
	LostLeadership      = Event{201, "lost_leadership", zerolog.WarnLevel, "this replica is no longer the leader", ""}
	DiskFault           = Event{202, "disk_fault", zerolog.ErrorLevel, "the disk failed; this replica no longer acknowledges log entries", "replace the VM under a new replica id"}
	LogCorrupt          = Event{203, "log_corrupt", zerolog.ErrorLevel, "the replicated log has a corrupt record before its end; refusing to start", "replace the VM under a new replica id"}
	TornTailCut         = Event{204, "torn_tail_cut", zerolog.WarnLevel, "an incomplete record at the end of the log was truncated", ""}
	ReplicaIDUsed       = Event{205, "replica_id_used", zerolog.ErrorLevel, "this replica id is registered with another disk; refusing to take part", "start the VM under a new replica id and join"}
	SnapshotFailed      = Event{206, "snapshot_failed", zerolog.ErrorLevel, "the snapshot of the state could not be encoded; the log keeps growing", "report the error"}
	StateFailed         = Event{207, "state_failed", zerolog.ErrorLevel, "a snapshot could not be restored; this replica has stopped", "replace the VM under a new replica id"}
	VoteKept            = Event{208, "vote_kept", zerolog.WarnLevel, "this replica stops as a voter: no standby took over its vote in time", "if the VM does not return, check that the leader has removed it"}
	ChangeApplied       = Event{210, "change_applied", zerolog.InfoLevel, "an operator's change was applied", ""}
	CellAssigned        = Event{211, "cell_assigned", zerolog.InfoLevel, "a cell was assigned", ""}
	MemberCaughtUp      = Event{212, "member_caught_up", zerolog.InfoLevel, "a learner has caught up and became a voter", ""}
	StateApplied        = Event{213, "state_applied", zerolog.InfoLevel, "a desired state was committed, or one that is not newer was acknowledged without effect", ""}
	ZoneSet             = Event{214, "zone_set", zerolog.InfoLevel, "an availability zone was taken out or brought back", ""}
	JoinFailed          = Event{215, "join_failed", zerolog.WarnLevel, "this replica could not join the control group; it will retry", "check the seeds in the settings"}
	OrderRefused        = Event{216, "order_refused", zerolog.WarnLevel, "a request from an operator or an upstream was refused", "see the error field"}
	MemberRemoved       = Event{217, "member_removed", zerolog.WarnLevel, "a control VM was removed from the control group, by an operator or because it did not respond", "if the VM is to return, check that it runs and joins the group"}
	LoopSlow            = Event{218, "loop_slow", zerolog.WarnLevel, "events waited long for the event loop of the control server, or answers to renewals took long", "check the CPU time of the VM"}
	ConfigUnacked       = Event{219, "config_unacked", zerolog.WarnLevel, "live gateways have not acknowledged a desired state in time", "check the load of the leader and the links of the gateways"}
	EntryReplaced       = Event{220, "entry_replaced", zerolog.InfoLevel, "an entry VM came back under its id at another address; the process before is removed", "check that no two VMs have the same id"}
	LogReplayed         = Event{221, "log_replayed", zerolog.InfoLevel, "the replicated log was read at the start", ""}
	NoLeader            = Event{222, "no_leader", zerolog.WarnLevel, "this replica knows no leader and has not become one; the answers are those of the voters to its latest requests", "see the section on elections in docs/OPERATIONS.md"}
	ReplicaWaiting      = Event{223, "replica_waiting", zerolog.WarnLevel, "this replica is neither a voter nor a standby and waits", "see the section on elections in docs/OPERATIONS.md"}
	MembershipChanged   = Event{224, "membership_changed", zerolog.InfoLevel, "the newest membership in the log of this replica has changed or was committed", ""}
	OrderOutdated       = Event{225, "order_outdated", zerolog.WarnLevel, "an order was rejected because its object has changed since the order arrived at a control VM, or because its caller has left", "order it again if it is still wanted; if it is frequent, check for control VMs that pause or are cut off"}
	MemberChangeStarted = Event{226, "member_change_started", zerolog.InfoLevel, "this leader proposes a change of the membership", ""}
	TermCommitted       = Event{227, "term_committed", zerolog.InfoLevel, "the first entry of this leader's term was committed", ""}
	FirstRead           = Event{228, "first_read", zerolog.InfoLevel, "the first read since the start was confirmed", ""}
	Joined              = Event{229, "joined", zerolog.InfoLevel, "this replica was added to the control group", ""}
	RolloutStarted      = Event{230, "rollout_started", zerolog.InfoLevel, "an order for a roll-out was committed, or a repeated one was acknowledged", ""}
	RolloutStep         = Event{231, "rollout_step", zerolog.InfoLevel, "a roll-out takes its next step; the figures are those that decided it", ""}
	RolloutRolledBack   = Event{232, "rollout_rolled_back", zerolog.WarnLevel, "a roll-out is rolled back; the figures are those that decided it", "see the reason field; examine the new version on the named route"}
	RolloutLate         = Event{233, "rollout_late", zerolog.WarnLevel, "a roll-out has no verdict at the end of its duration", "if moved is false, look for long requests at the old version and for gateways that do not get the configuration"}
	RolloutNotCommitted = Event{234, "rollout_not_committed", zerolog.WarnLevel, "a step of a roll-out or the software version of a pool was not committed; it will be tried again", "if it persists, check the control group"}
	OrdersHeld          = Event{235, "orders_held", zerolog.WarnLevel, "this process was paused; orders that are read now are based on the state before the pause", "check whether the VM is overcommitted or was suspended"}
	OrderUnbounded      = Event{236, "order_unbounded", zerolog.WarnLevel, "an order has no bound on its age, because a member of the control group has not stated that it supports that", "finish the upgrade of all control VMs"}
	ConvictionSet       = Event{237, "conviction_set", zerolog.InfoLevel, "a request that crashes upstreams is recorded in the configuration, for entry VMs that start later", "find the sender of the request; see request_held_off at the entry VMs"}
	ConvictionRemoved   = Event{238, "conviction_removed", zerolog.InfoLevel, "a recorded request that crashed upstreams was released, or its quarantine has ended", ""}
	ConfigAdopted       = Event{300, "config_adopted", zerolog.InfoLevel, "a newer configuration is in force", ""}
	LeaseLost           = Event{301, "lease_lost", zerolog.WarnLevel, "the configuration lease has expired; refusing new calls", "check the network to control VMs and other entry VMs"}
	LeaseRegained       = Event{302, "lease_regained", zerolog.InfoLevel, "the configuration lease was renewed after it had expired", ""}
	CellTaken           = Event{303, "cell_taken", zerolog.InfoLevel, "this entry VM became the dispatcher of the cell", ""}
	CellGiven           = Event{304, "cell_given", zerolog.InfoLevel, "this entry VM is no longer the dispatcher of the cell", ""}
	ControlLost         = Event{305, "control_lost", zerolog.WarnLevel, "no control VM responds; serving with the last configuration", "check the network to control VMs"}
	ControlRegained     = Event{306, "control_regained", zerolog.InfoLevel, "a control VM responds again", ""}
	RenewalFailed       = Event{307, "renewal_failed", zerolog.WarnLevel, "the renewal of the configuration failed; if no control VM answered, others are tried", "if it persists, check the control VM and the network to it"}
	UpstreamState       = Event{310, "upstream_state", zerolog.InfoLevel, "an upstream changed its state", ""}
	UpstreamHeld        = Event{311, "upstream_held", zerolog.WarnLevel, "an upstream failed and temporarily receives no requests from this process", ""}
	UpstreamLimit       = Event{312, "upstream_limit", zerolog.InfoLevel, "an upstream named, changed or withdrew the request rate that it takes from all gateways together", ""}
	LimitInvalid        = Event{313, "limit_invalid", zerolog.WarnLevel, "an upstream named a request rate that cannot be read; it counts as none", "correct the upstream: the rate is a decimal number of at least 0"}
	LimitedLoad         = Event{314, "limited_load", zerolog.InfoLevel, "what this gateway sent in the last second to an upstream that names a request rate", ""}
	PermitsIssued       = Event{315, "permits_issued", zerolog.InfoLevel, "permits that this gateway issued in the last second for an upstream that names a request rate or is cold", ""}
	PermitFailed        = Event{316, "permit_failed", zerolog.WarnLevel, "the gateway that issues the permits for an upstream did not answer; the upstream gets no request", "if it persists, check that gateway and the network to it"}
	UpstreamLeaving     = Event{317, "upstream_leaving", zerolog.InfoLevel, "an upstream said in an answer that it is leaving; this gateway sends it nothing more", ""}
	UpstreamPaused      = Event{318, "upstream_paused", zerolog.InfoLevel, "an upstream turned a request away and named a time in which it wants none; this gateway sends it nothing until then", "if it is frequent, add upstreams"}
	NoticeInvalid       = Event{319, "notice_invalid", zerolog.WarnLevel, "an answer says that the upstream leaves, or asks for a pause, with a value that is not followed", "correct the upstream: 1 says that it leaves; a pause is a number of seconds or an HTTP date, at most an hour ahead"}
	UpstreamsLost       = Event{320, "upstreams_lost", zerolog.WarnLevel, "this gateway has no way to any upstream", "check the network of this VM to the upstreams"}
	UpstreamsBack       = Event{321, "upstreams_back", zerolog.InfoLevel, "this gateway reaches upstreams again", ""}
	RelayFailed         = Event{322, "relay_failed", zerolog.WarnLevel, "a call that this gateway relayed to another one got no response of an upstream", "see the error field and the log of the other gateway"}
	RetriesRefused      = Event{330, "retries_refused", zerolog.WarnLevel, "the retry budget refused retries in the last second; gateways is the number that share its slack, 0 while control has not registered this one", "look for the reason of the failed attempts"}
	AllotmentFailed     = Event{331, "allotment_failed", zerolog.WarnLevel, "a gateway that issues permits for the requests of an organisation did not answer; others of the organisation are asked", "if it persists, check that gateway and the network to it"}
	AllotmentUsed       = Event{332, "allotment_used", zerolog.InfoLevel, "this gateway refused calls of an organisation in the last second, as its allotment over all gateways was used up (refused) or nobody issued permits (no_issuer)", "if the organisation is to get more, raise its rate_per_s or burst"}
	AllotmentIssued     = Event{333, "allotment_issued", zerolog.InfoLevel, "permits that this gateway issued in the last second for the requests of an organisation that asked for more", ""}
	VersionsChanged     = Event{340, "versions_changed", zerolog.InfoLevel, "the software version that gets the requests of a pool has changed here, or a roll-out has entered another stage", ""}
	TargetWithdrawn     = Event{341, "target_withdrawn", zerolog.WarnLevel, "the evidence of this gateway alone shows that the new version of a pool is bad; it gets nothing more from here until the roll-out ends", "see the field why and the chapter on roll-outs in docs/OPERATIONS.md"}
	EvidenceUnsent      = Event{342, "evidence_unsent", zerolog.WarnLevel, "evidence on a new version could not be reported at once; it is sent with the next renewal", "if it persists, check the network to control VMs"}
	CallPanic           = Event{400, "call_panic", zerolog.ErrorLevel, "a call failed because of a defect in this program", "report the stack trace"}
	RequestSuspect      = Event{401, "request_suspect", zerolog.WarnLevel, "a connection broke with the request in flight", ""}
	RequestHeldOff      = Event{402, "request_held_off", zerolog.ErrorLevel, "a request was quarantined after it repeatedly broke connections to upstreams", "examine the request; release it with the admin command"}
	CallEnded           = Event{403, "call_ended", zerolog.WarnLevel, "a call was refused, failed, or was sent more than once", ""}
	AttemptFailed       = Event{404, "attempt_failed", zerolog.InfoLevel, "an attempt at an upstream returned no response that can be forwarded", ""}
	UpstreamBroke       = Event{405, "upstream_broke", zerolog.WarnLevel, "an upstream broke the connection on which it ran the request; reported as a crash", "compare target, caller and body of the requests that did so"}
	TrialFailed         = Event{407, "trial_failed", zerolog.WarnLevel, "the gateway that issues the permits for a suspect request did not answer; the request is not sent", "if it persists, check that gateway and the network to it"}
	ClientsDropped      = Event{408, "clients_dropped", zerolog.WarnLevel, "clients were dropped or refused in the last second, as there was no room left for what this process holds for its clients", "compare the bytes and connections with the memory and descriptors of the VM; add VMs if the clients are ordinary ones"}
	WrongKey            = Event{500, "wrong_key", zerolog.WarnLevel, "a request had no valid key", "check the sender and its key"}
	KeysReloaded        = Event{501, "keys_reloaded", zerolog.InfoLevel, "the changed key file was reloaded", ""}
	KeysInvalid         = Event{502, "keys_invalid", zerolog.ErrorLevel, "a key file is missing or not valid; the old keys stay in force", "correct the named file"}
)

// Catalogue returns all events in the order of their numbers.
func Catalogue() []Event {
	return []Event{
		Started, Stopping, Stopped, StoppedHard, ListenFailed, Reloaded, ReloadFailed, RPCLoad,
		BecameLeader, LostLeadership, DiskFault, LogCorrupt, TornTailCut, ReplicaIDUsed, SnapshotFailed, StateFailed, VoteKept, ChangeApplied, CellAssigned, MemberCaughtUp, StateApplied, ZoneSet, JoinFailed, OrderRefused, MemberRemoved, LoopSlow, ConfigUnacked, EntryReplaced, LogReplayed, NoLeader, ReplicaWaiting, MembershipChanged, OrderOutdated, MemberChangeStarted, TermCommitted, FirstRead, Joined, RolloutStarted, RolloutStep, RolloutRolledBack, RolloutLate, RolloutNotCommitted, OrdersHeld, OrderUnbounded, ConvictionSet, ConvictionRemoved,
		ConfigAdopted, LeaseLost, LeaseRegained, CellTaken, CellGiven, ControlLost, ControlRegained, RenewalFailed, UpstreamState, UpstreamHeld, UpstreamLimit, LimitInvalid, LimitedLoad, PermitsIssued, PermitFailed, UpstreamLeaving, UpstreamPaused, NoticeInvalid, UpstreamsLost, UpstreamsBack, RelayFailed, RetriesRefused, AllotmentFailed, AllotmentUsed, AllotmentIssued, VersionsChanged, TargetWithdrawn, EvidenceUnsent,
		CallPanic, RequestSuspect, RequestHeldOff, CallEnded, AttemptFailed, UpstreamBroke, TrialFailed, ClientsDropped,
		WrongKey, KeysReloaded, KeysInvalid,
	}
}
