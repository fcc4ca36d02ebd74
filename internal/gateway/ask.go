package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/place"
	"balsamcourse.example/balsamcourse/internal/upconn"
)

const (
	// asked is the number of upstreams that are asked for their load before a
	// request is placed.
	asked = 2
	// askTimeout bounds the wait for an answer: asking takes some milliseconds
	// of a slot, and up to four times as long in a slow spell.
	askTimeout = 80 * time.Millisecond
	// askPatience is the further wait for the other answers once one upstream
	// has room.
	askPatience = 8 * time.Millisecond
	// maxHealthBody bounds the body of a health answer.
	maxHealthBody = 4 << 10
)

// reply is the end of asking one upstream.
type reply struct {
	candidate place.Upstream
	conn      *upconn.Conn
	err       error
}

// spot is an upstream with a connection on which it has just answered.
type spot struct {
	choice place.Choice
	conn   *upconn.Conn
}

// ask asks the candidates for their load in parallel and returns the
// connection of the chosen one. The others go back to the pool.
func (f *Forwarder) ask(ctx context.Context, candidates []place.Upstream, need place.Requirements) spot {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	replies := make(chan reply, len(candidates))
	for _, c := range candidates {
		go func() { replies <- f.askOne(ctx, c) }()
	}
	conns := make(map[string]*upconn.Conn, len(candidates))
	ids := make([]string, 0, len(candidates))
	pending := len(candidates)
	var patience <-chan time.Time
collect:
	for pending > 0 {
		select {
		case r := <-replies:
			pending--
			if r.err != nil {
				continue
			}
			conns[r.candidate.ID] = r.conn
			ids = append(ids, r.candidate.ID)
			if f.goodEnough(r.candidate.ID) {
				break collect
			}
			if patience == nil {
				patience = time.After(askPatience)
			}
		case <-patience:
			if f.choose(ids, need).Outcome == place.Selected {
				break collect
			}
			patience = nil
		}
	}
	choice := f.take(ids, need)
	s := spot{choice: choice, conn: conns[choice.Upstream.ID]}
	for id, conn := range conns {
		if id != choice.Upstream.ID || choice.Outcome != place.Selected {
			f.conns.Release(conn, nil)
		}
	}
	if choice.Outcome != place.Selected {
		s.conn = nil
	}
	go f.collectLate(replies, pending, cancel)
	return s
}

// collectLate takes in the answers that come after the choice.
func (f *Forwarder) collectLate(replies <-chan reply, pending int, cancel context.CancelFunc) {
	defer cancel()
	for range pending {
		if r := <-replies; r.err == nil {
			f.conns.Release(r.conn, nil)
		}
	}
}

func (f *Forwarder) goodEnough(id string) bool {
	w := f.world
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.board.IsIdle(w.now(), id)
}

// choose decides among the upstreams that have answered.
func (f *Forwarder) choose(ids []string, need place.Requirements) place.Choice {
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	return f.world.board.Choose(f.world.now(), ids, need)
}

// take decides among the upstreams that have answered and counts a request at
// the chosen one.
func (f *Forwarder) take(ids []string, need place.Requirements) place.Choice {
	w := f.world
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	choice := w.board.Choose(now, ids, need)
	if choice.Outcome == place.Unavailable {
		choice = w.board.ChooseCold(now, ids)
	}
	if choice.Outcome == place.Selected {
		w.begin(choice)
	}
	return choice
}

// askOne asks one upstream for its load.
func (f *Forwarder) askOne(ctx context.Context, c place.Upstream) reply {
	asked := f.world.now()
	conn, report, err := f.health(ctx, c)
	w := f.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		held := w.askFailed(c.ID, err)
		f.opts.Events.Log(event.UpstreamHeld).Str("upstream", c.ID).Str("pool", c.Pool).Str("why", "asked for its load").
			Uint64("held_ms", uint64(held.Milliseconds())).Err(err).Send()
		return reply{candidate: c, err: err}
	}
	w.board.RecordProbe(w.now(), asked, c.ID, report)
	return reply{candidate: c, conn: conn}
}

// health makes the health request. A connection that an upstream has closed
// while it was idle is replaced by a new one.
func (f *Forwarder) health(ctx context.Context, c place.Upstream) (*upconn.Conn, place.ProbeResult, error) {
	conn, err := f.conns.Get(ctx, c.Address)
	if err != nil {
		return nil, place.ProbeResult{}, err
	}
	report, err := f.healthOn(ctx, conn, c)
	if err == nil || !conn.Reused || ctx.Err() != nil {
		return conn, report, err
	}
	if conn, err = f.conns.Open(ctx, c.Address); err != nil {
		return nil, place.ProbeResult{}, err
	}
	report, err = f.healthOn(ctx, conn, c)
	return conn, report, err
}

func (f *Forwarder) healthOn(ctx context.Context, conn *upconn.Conn, c place.Upstream) (place.ProbeResult, error) {
	stop := conn.InterruptOnDone(ctx)
	defer stop()
	d := f.opts.Headers
	x, err := conn.Do(ctx, &upconn.Request{
		Method:          http.MethodGet,
		Target:          f.world.healthPath(c.Pool),
		Host:            c.Address,
		Header:          http.Header{d.ExpectUpstream: {c.ID}},
		MatchesResponse: func(h http.Header) bool { return h.Get(d.RequestID) == "" },
	})
	if err != nil {
		return place.ProbeResult{}, err
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(x.Response.Body, maxHealthBody)); err != nil {
		conn.Close()
		return place.ProbeResult{}, err
	}
	return f.report(conn, c, x.Response)
}

// report reads what the upstream says of itself.
func (f *Forwarder) report(conn *upconn.Conn, c place.Upstream, resp *http.Response) (place.ProbeResult, error) {
	d := f.opts.Headers
	if resp.StatusCode == http.StatusMisdirectedRequest || mismatch(resp.Header.Get(d.UpstreamID), c.ID) {
		conn.Close()
		return place.ProbeResult{}, errOtherUpstream
	}
	r := place.ProbeResult{Unhealthy: resp.StatusCode != http.StatusOK}
	if load, ok := d.ParseLoad(resp.Header.Get(d.Load)); ok {
		r.Load = load
	} else if resp.Header.Get(d.NotRun) != "" {
		// It has no room even for this request.
		r.Load = place.Load{Running: c.Slots, Waiting: c.Slots, Slots: c.Slots}
	}
	if ms, err := strconv.ParseFloat(resp.Header.Get(d.ColdMs), 64); err == nil && ms > 0 {
		r.ColdFor = time.Duration(ms * float64(time.Millisecond))
	}
	if resp.Close {
		conn.Close()
		return r, errConnectionEnds
	}
	return r, nil
}

func mismatch(got, want string) bool { return got != "" && got != want }

// askFailed records that an upstream did not tell its load. One that took the
// connection and let the time pass may just be full. The caller holds the lock.
func (w *world) askFailed(id string, err error) time.Duration {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "read" && op.Timeout() {
		return w.board.RecordProbeTimeout(w.now(), id)
	}
	return w.board.RecordFailure(w.now(), id)
}
