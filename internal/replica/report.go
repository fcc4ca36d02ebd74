package replica

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/consensus"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/storage"
)

const (
	// firstWaitReport is how long a replica waits, for a leader or to become a voter,
	// before that is reported; an election takes less.
	firstWaitReport = time.Second
	// minWaitReportInterval is the shortest time between two reports of one wait. They
	// are repeated at intervals that double up to maxWaitReportInterval, and earlier if
	// the facts change.
	minWaitReportInterval = time.Second
	maxWaitReportInterval = 30 * time.Second
)

// waitReports decides when a replica that waits is reported.
type waitReports struct {
	// since is when the wait began, and identifies it.
	since    time.Duration
	started  bool
	reported bool
	last     time.Duration
	interval time.Duration
	facts    string
}

// due reports whether a wait that began at since is to be reported now. It calls facts
// only if that is possible, and remembers them for the next call.
func (w *waitReports) due(now, since time.Duration, facts func() string) bool {
	if !w.started || w.since != since {
		*w = waitReports{since: since, started: true, interval: minWaitReportInterval}
	}
	if now-since < firstWaitReport || w.reported && now-w.last < minWaitReportInterval {
		return false
	}
	current := facts()
	repeat := !w.reported || now-w.last >= w.interval
	if !repeat && current == w.facts {
		return false
	}
	if w.reported && repeat {
		w.interval = min(2*w.interval, maxWaitReportInterval)
	}
	w.reported, w.last, w.facts = true, now, current
	return true
}

// reportReplay logs what the log on the disk holds.
func (n *Node) reportReplay(found storage.OpenResult, took time.Duration) {
	st := n.consensus.Status()
	n.opts.Events.Log(event.LogReplayed).Uint64("replay_ms", milliseconds(took)).
		Bool("new_log", found.Created).Str("disk_id", strconv.FormatUint(found.Record.GetDiskId(), 16)).
		Str("role", string(st.Role)).Uint64("term", st.Term).Uint64("vote", found.Record.GetState().GetVote()).
		Uint64("snapshot_index", st.SnapshotIndex).Uint64("last_index", st.LastIndex).
		Uint64("membership_index", st.MembershipIndex).
		Str("voters", describeMembers(st.Members, false)).Str("learners", describeMembers(st.Members, true)).Send()
	n.reported.membership, n.reported.membershipCommitted = st.Members, st.MembershipCommitted
}

// reportMembership logs that the latest membership has changed or was committed.
func (n *Node) reportMembership(st consensus.Status) {
	if sameMembers(st.Members, n.reported.membership) && st.MembershipCommitted == n.reported.membershipCommitted {
		return
	}
	n.reported.membership, n.reported.membershipCommitted = st.Members, st.MembershipCommitted
	n.opts.Events.Log(event.MembershipChanged).Uint64("index", st.MembershipIndex).Bool("committed", st.MembershipCommitted).
		Uint64("term", st.Term).Str("voters", describeMembers(st.Members, false)).Str("learners", describeMembers(st.Members, true)).Send()
}

// sameMembers reports whether two memberships are equal. Those of one log usually share
// their members, which is checked first.
func sameMembers(a, b []consensus.MemberStatus) bool {
	return slices.EqualFunc(a, b, func(x, y consensus.MemberStatus) bool {
		return x.Member == y.Member || proto.Equal(x.Member, y.Member)
	})
}

// reportMemberChanges logs why this leader changes the membership.
func (n *Node) reportMemberChanges(changes []consensus.MemberChange) {
	for _, c := range changes {
		line := n.opts.Events.Log(event.MemberChangeStarted).Str("change", string(c.Kind)).Str("why", string(c.Why)).
			Uint64("replica", c.Member.GetReplicaId()).Str("address", c.Member.GetAddress()).Uint64("index", c.Index)
		if c.Kind == consensus.MemberRemoved || c.Kind == consensus.VoteWithdrawn {
			line.Uint64("silent_ms", milliseconds(c.Silence)).Uint64("successor", c.Successor)
		}
		if replaces := c.Member.GetReplaces(); replaces != 0 && c.Kind != consensus.MemberRemoved {
			line.Uint64("replaces", replaces)
		}
		line.Send()
	}
}

// reportFirstCommit logs the first commit of each term of this leader.
func (n *Node) reportFirstCommit(st consensus.Status) {
	if st.TermStartIndex == 0 || st.CommitIndex < st.TermStartIndex || n.reported.committedTerm == st.Term {
		return
	}
	n.reported.committedTerm = st.Term
	n.opts.Events.Log(event.TermCommitted).Uint64("term", st.Term).Uint64("index", st.TermStartIndex).
		Uint64("since_leader_ms", milliseconds(n.now()-st.LeaderSince)).Uint64("since_start_ms", milliseconds(n.now())).Send()
}

// reportFirstRead logs the first confirmed read since the start.
func (n *Node) reportFirstRead(results []consensus.ReadResult) {
	if n.reported.read {
		return
	}
	for _, r := range results {
		if r.Fault == "" {
			n.reported.read = true
			n.opts.Events.Log(event.FirstRead).Uint64("index", r.Index).Uint64("since_start_ms", milliseconds(n.now())).Send()
			return
		}
	}
}

// reportWait logs a replica that has known no leader, or has not become a voter, for a
// while.
func (n *Node) reportWait(st consensus.Status) {
	if st.Waits != n.reported.waits {
		n.reported.waits, n.reported.waitsSince = st.Waits, n.now()
	}
	switch {
	case st.Waits != consensus.WaitNone:
		n.reportNotVoter(st)
	case st.Leaderless:
		n.reportNoLeader(st)
	}
}

func (n *Node) reportNotVoter(st consensus.Status) {
	var founders string
	facts := func() string {
		founders = describeFounders(n.consensus.FormationStatus())
		return string(st.Waits) + founders
	}
	if !n.reported.notVoter.due(n.now(), n.reported.waitsSince, facts) {
		return
	}
	line := n.opts.Events.Log(event.ReplicaWaiting).Str("role", string(st.Role)).Str("waits_for", string(st.Waits)).
		Uint64("waiting_ms", milliseconds(n.now()-n.reported.waitsSince)).Uint64("term", st.Term).Uint64("leader", st.Leader).
		Uint64("last_index", st.LastIndex).Uint64("commit_index", st.CommitIndex).Uint64("members", uint64(len(st.Members)))
	if founders != "" {
		line.Str("founders", founders)
	}
	line.Send()
}

func (n *Node) reportNoLeader(st consensus.Status) {
	var es consensus.ElectionStatus
	var answers, ignored string
	facts := func() string {
		es = n.consensus.ElectionStatus()
		answers, ignored = describeAnswers(es, n.opts.ID), describeIgnored(es.Ignored)
		return answers + ignored
	}
	if !n.reported.noLeader.due(n.now(), st.LeaderlessSince, facts) {
		return
	}
	granted := 0
	for _, v := range es.Voters {
		if v.Answered && v.Answer.Granted {
			granted++
		}
	}
	line := n.opts.Events.Log(event.NoLeader).Str("role", string(st.Role)).Uint64("term", st.Term).Uint64("vote", es.Vote).
		Uint64("last_index", st.LastIndex).Uint64("last_term", es.LastTerm).
		Uint64("leaderless_ms", milliseconds(n.now()-st.LeaderlessSince)).Uint64("rounds", es.Rounds).
		Uint64("voters", uint64(len(es.Voters))).Uint64("needed", uint64(es.Needed)).Uint64("granted", uint64(granted)).
		Str("answers", answers).Uint64("membership_index", st.MembershipIndex).Bool("membership_committed", st.MembershipCommitted)
	if ignored != "" {
		line.Str("ignored", ignored)
	}
	line.Send()
}

// describeAnswers returns the answer of each voter to the requests of replica self.
func describeAnswers(es consensus.ElectionStatus, self uint64) string {
	var parts []string
	for _, v := range es.Voters {
		parts = append(parts, describeMember(v.Member)+"="+describeAnswer(es, v, self))
	}
	return strings.Join(parts, " ")
}

func describeAnswer(es consensus.ElectionStatus, v consensus.VoterAnswer, self uint64) string {
	switch {
	case v.Member.GetReplicaId() == self:
		return "self"
	case es.Rounds == 0:
		return "not_asked"
	case !v.Answered:
		return "no_answer"
	case v.Answer.Granted:
		return "granted"
	default:
		return "refused:" + describeRefusal(v.Answer.Refusal)
	}
}

func describeRefusal(r clusterpb.VoteRefusal) string {
	if r == clusterpb.VoteRefusal_VOTE_REFUSAL_UNSPECIFIED {
		return "unknown"
	}
	return strings.ToLower(strings.TrimPrefix(r.String(), "VOTE_REFUSAL_"))
}

// describeIgnored returns the replicas whose requests for votes were ignored.
func describeIgnored(ignored map[uint64]bool) string {
	var parts []string
	for _, id := range slices.Sorted(maps.Keys(ignored)) {
		parts = append(parts, strconv.FormatUint(id, 10)+"=other_disk")
	}
	return strings.Join(parts, " ")
}

// describeFounders returns what is known of the other founders of a new group.
func describeFounders(founders []consensus.FounderStatus) string {
	var parts []string
	for _, f := range founders {
		state := "not_heard"
		switch {
		case f.Agrees:
			state = "agrees"
		case f.Heard:
			state = "heard"
		}
		parts = append(parts, describeMember(f.Member)+"="+state)
	}
	return strings.Join(parts, " ")
}

// describeMembers returns the voters or the learners among the members.
func describeMembers(members []consensus.MemberStatus, learners bool) string {
	var parts []string
	for _, m := range members {
		if m.Member.GetLearner() == learners {
			parts = append(parts, describeMember(m.Member))
		}
	}
	return strings.Join(parts, " ")
}

func describeMember(m *catalogpb.ControlMember) string {
	return fmt.Sprintf("%d@%s", m.GetReplicaId(), m.GetAddress())
}

func milliseconds(d time.Duration) uint64 { return uint64(max(d, 0).Milliseconds()) }
