package clientbudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testMemory = 136 << 20

// TestOrdinaryRequestFitsInCalm guards against limits under which a single client inside
// the limits of requests is refused by a small process.
func TestOrdinaryRequestFitsInCalm(t *testing.T) {
	for _, mb := range []int64{64, 136, 280} {
		l := NewLedger(LimitsFor(mb<<20, 512))
		conn := l.Connect(0)
		assert.Assert(t, conn != nil && l.Charge(conn, LargeHeadBytes, Small))
		body := l.Begin(0)
		assert.Assert(t, l.Charge(body, 2<<20+2*TransferBytes, Large))
	}
	l := NewLedger(LimitsFor(280<<20, 512))
	assert.Assert(t, l.Charge(l.Begin(0), 64<<20, Large))
}

// TestDescriptorsBoundConnections guards against clients that leave no descriptors for
// upstreams and files.
func TestDescriptorsBoundConnections(t *testing.T) {
	for descriptors, want := range map[int]int{0: 1671, 512: 179, 60: minConnections} {
		got := LimitsFor(testMemory, descriptors).Connections
		assert.Equal(t, got, want, "%d descriptors", descriptors)
	}
}

// TestDropsByProgressNotByAge has an old sender that is fast, a young one that sends single
// bytes and one that has stopped; an idle connection comes last.
func TestDropsByProgressNotByAge(t *testing.T) {
	l := NewLedger(Limits{Bytes: 4 * ConnectionBytes, LargeBytes: 4 * ConnectionBytes, Connections: 4})
	clients := map[string]*Client{}
	for _, name := range []string{"fast", "idle", "trickle", "stopped"} {
		clients[name] = l.Connect(0)
		l.Enter(0, clients[name], SendingBody)
	}
	l.Enter(0, clients["idle"], Idle)
	now := time.Duration(0)
	for range 300 {
		now += 10 * time.Millisecond
		l.Move(now, clients["fast"], progressBytes)
		l.Move(now, clients["trickle"], 1)
		if now < time.Second {
			l.Move(now, clients["stopped"], progressBytes)
		}
	}
	for _, want := range []string{"trickle", "stopped", "idle"} {
		assert.Assert(t, l.Connect(now) == nil)
		victims := l.Victims(now, Want{Connection: true})
		assert.Equal(t, len(victims), 1)
		assert.Assert(t, victims[0] == clients[want], want)
		assert.Equal(t, len(l.Victims(now, Want{Connection: true})), 0, "room that is being released is not freed twice")
		l.End(victims[0])
		added := l.Connect(now)
		assert.Assert(t, added != nil)
		l.Enter(now, added, Running)
	}
	assert.Equal(t, len(l.Victims(now, Want{Connection: true})), 0)
}

// TestDrawnCrowdsStayWithinTheBudget draws thousands of clients, most of which stall, and
// checks after each step that the charges stay within the limits, that small charges find
// room when large ones do not, and that clients that make progress are never dropped.
func TestDrawnCrowdsStayWithinTheBudget(t *testing.T) {
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 0))
		limits := LimitsFor(testMemory, 4096)
		l := NewLedger(limits)
		type sender struct {
			conn, body *Client
			good       bool
			left       int
		}
		var senders []*sender
		var ordinary, served int
		end := func(s *sender) {
			l.End(s.body)
			l.End(s.conn)
		}
		drop := func(now time.Duration, want Want) {
			for _, v := range l.Victims(now, want) {
				for _, s := range senders {
					if s.conn == v || s.body == v {
						assert.Assert(t, !s.good, "seed %d: a client that makes progress was dropped", seed)
						end(s)
					}
				}
			}
		}
		for step := range 2000 {
			now := time.Duration(step) * time.Millisecond
			conn := l.Connect(now)
			if conn == nil {
				drop(now, Want{Connection: true})
				conn = l.Connect(now)
			}
			if conn != nil {
				s := &sender{conn: conn, body: l.Begin(now), good: rng.IntN(10) == 0, left: 1 << 20}
				l.Enter(now, conn, Running)
				if !l.Charge(s.body, 1<<20+TransferBytes, Large) {
					drop(now, Want{Bytes: 1<<20 + TransferBytes})
				}
				l.Enter(now, s.body, SendingBody)
				senders = append(senders, s)
			}
			kept := senders[:0]
			for _, s := range senders {
				if s.good {
					s.left -= 8 << 10
					l.Move(now, s.body, 8<<10)
				}
				if s.left <= 0 || s.conn.Dropped() || s.body.Dropped() {
					end(s)
					continue
				}
				kept = append(kept, s)
			}
			senders = kept
			if step%10 == 0 {
				ordinary++
				small := l.Begin(now)
				if l.Charge(small, 16<<10, Small) {
					served++
				}
				l.End(small)
			}
			used, connections := l.Used()
			assert.Assert(t, used <= limits.Bytes && connections <= limits.Connections, "seed %d: %d bytes, %d connections", seed, used, connections)
		}
		assert.Equal(t, served, ordinary, "seed %d", seed)
		for _, s := range senders {
			end(s)
		}
		used, connections := l.Used()
		assert.Equal(t, used, int64(0))
		assert.Equal(t, connections, 0)
	}
}

// BenchmarkRequest measures the decisions of one request on a process with many clients.
func BenchmarkRequest(b *testing.B) {
	l := NewLedger(LimitsFor(testMemory, 0))
	for range 1000 {
		l.Enter(0, l.Connect(0), Idle)
	}
	conn := l.Connect(0)
	for i := range b.N {
		now := time.Duration(i)
		l.Enter(now, conn, SendingHead)
		l.Enter(now, conn, Running)
		body := l.Begin(now)
		l.Charge(body, 16<<10, Small)
		l.Enter(now, body, SendingBody)
		l.Move(now, body, 1000)
		l.End(body)
		l.Enter(now, conn, Idle)
	}
}

// TestConnectionsAreFreedByTheQueue has connections whose clients have stopped within their
// bodies: the longer the queue of new connections, the sooner they are dropped, and as many
// as wait.
func TestConnectionsAreFreedByTheQueue(t *testing.T) {
	const connections = 100
	for _, c := range []struct {
		waiting int
		stalled time.Duration
		want    int
	}{
		{waiting: 1, stalled: connectionGrace - 1, want: 0},
		{waiting: 1, stalled: connectionGrace, want: connections * dropPercent / 100},
		{waiting: connections, stalled: maxQueueWait - 1, want: 0},
		{waiting: connections, stalled: maxQueueWait, want: connections},
		{waiting: 1000, stalled: StallGrace - 1, want: 0},
		{waiting: 1000, stalled: StallGrace, want: connections},
	} {
		l := NewLedger(Limits{Bytes: 1 << 30, LargeBytes: 1 << 30, Connections: connections})
		for range connections {
			l.Enter(0, l.Connect(0), SendingBody)
		}
		got := l.Victims(c.stalled, Want{Connection: true, Waiting: c.waiting})
		assert.Equal(t, len(got), c.want, "%+v", c)
	}
}

// TestPausesWithinBodiesAreAllowedInCalm guards against dropping a client that pauses while
// there is room for all.
func TestPausesWithinBodiesAreAllowedInCalm(t *testing.T) {
	l := NewLedger(LimitsFor(testMemory, 4096))
	conn, body := l.Connect(0), l.Begin(0)
	assert.Assert(t, l.Charge(body, 1<<20, Large))
	l.Enter(0, conn, SendingBody)
	l.Enter(0, body, SendingBody)
	for range 100 {
		assert.Assert(t, l.Connect(0) != nil)
		assert.Assert(t, l.Charge(l.Begin(0), 64<<10, Large))
	}
	assert.Assert(t, !conn.Dropped() && !body.Dropped())
}

// TestIdleHTTP2ConnectionsGiveWay guards against connections that are charged in advance,
// carry nothing and leave no room for bodies.
func TestIdleHTTP2ConnectionsGiveWay(t *testing.T) {
	l := NewLedger(LimitsFor(testMemory, 4096))
	var conns []*Client
	for {
		conn := l.Connect(0)
		if !l.Charge(conn, HTTP2Bytes, Large) {
			l.End(conn)
			break
		}
		l.Enter(time.Duration(len(conns)), conn, Idle)
		conns = append(conns, conn)
	}
	const need = 1 << 20
	victims := l.Victims(time.Hour, Want{Bytes: need})
	assert.Assert(t, len(victims) > 0 && victims[0] == conns[0])
	for _, v := range victims {
		l.End(v)
	}
	assert.Assert(t, l.Charge(l.Begin(0), need, Large))
}

// TestUploadsGiveWayLast has an upload of which an upstream has received a part, an idle
// connection and a body that is held here only.
func TestUploadsGiveWayLast(t *testing.T) {
	l := NewLedger(Limits{Bytes: 1 << 30, LargeBytes: 1 << 30, Connections: 3})
	clients := map[Phase]*Client{}
	for _, p := range []Phase{SendingRest, Idle, SendingBody} {
		clients[p] = l.Connect(0)
		l.Enter(0, clients[p], p)
	}
	for _, want := range []Phase{SendingBody, Idle, SendingRest} {
		victims := l.Victims(connectionGrace, Want{Connection: true, Waiting: 1})
		assert.Assert(t, len(victims) == 1 && victims[0] == clients[want], "%v", want)
		l.End(victims[0])
	}
}
