package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that has reached an instance.
type arrival struct {
	at       time.Time
	id       string
	instance string
	born     int64
	path     string
	ran      bool
}

// instance is a stand-in for one server. It does what the pages say of a sound one, but
// for what a case sets.
type instance struct {
	service, zone, address string
	slots, queue           int
	work                   time.Duration
	rec                    *record
	cluster                *cluster

	// handle, if it is set, answers a request in place of the usual answer. It reports
	// false if the request is to be answered as usual. c is the connection.
	handle func(in *instance, c net.Conn, r *http.Request, buffered *bufio.Reader) bool

	mu        sync.Mutex
	id        string
	born      int64
	sequence  int
	leaving   bool
	stopBeats bool
	coldUntil time.Time
	running   int
	waiting   int
	free      chan struct{}
	listener  net.Listener
	conns     map[net.Conn]bool
	arrivals  []arrival
	ended     bool
}

func newInstance(c *cluster, service, zone, id string, slots int, work time.Duration) *instance {
	return &instance{
		service: service, zone: zone, id: id, address: c.newIP() + ":9000", slots: slots, queue: 4, work: work,
		rec: c.rec, cluster: c, free: make(chan struct{}, slots), conns: map[net.Conn]bool{},
	}
}

// boot starts the instance with a new boot.
func (in *instance) boot() error {
	l, err := net.Listen("tcp4", in.address)
	if err != nil {
		return err
	}
	in.mu.Lock()
	in.listener, in.born, in.sequence, in.leaving, in.ended = l, time.Now().UnixMilli(), 0, false, false
	in.running, in.waiting = 0, 0
	in.free = make(chan struct{}, in.slots)
	in.mu.Unlock()
	in.rec.add("instance %s boots, born %d, at %s", in.id, in.born, in.address)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			in.mu.Lock()
			in.conns[c] = true
			in.mu.Unlock()
			go in.serve(c)
		}
	}()
	return nil
}

// end ends the process of the instance: its connections are reset.
func (in *instance) end(why string) {
	in.mu.Lock()
	if in.ended {
		in.mu.Unlock()
		return
	}
	in.ended = true
	l := in.listener
	conns := in.conns
	in.conns = map[net.Conn]bool{}
	in.mu.Unlock()
	in.rec.add("instance %s, born %d, ends: %s", in.id, in.born, why)
	_ = l.Close()
	for c := range conns {
		reset(c)
	}
}

// reset closes the connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (in *instance) serve(c net.Conn) {
	defer func() {
		in.mu.Lock()
		delete(in.conns, c)
		in.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !in.answer(c, r, reader) {
			return
		}
	}
}

// loadHeader returns the load that the instance tells.
func (in *instance) loadHeader() string {
	in.mu.Lock()
	defer in.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", in.running, in.waiting, in.slots)
}

// answer answers one request and reports whether the connection goes on.
func (in *instance) answer(c net.Conn, r *http.Request, reader *bufio.Reader) bool {
	in.mu.Lock()
	id, leaving, cold, ended := in.id, in.leaving, time.Until(in.coldUntil), in.ended
	in.mu.Unlock()
	if ended {
		return false
	}
	if expect := r.Header.Get(name("expect")); expect != "" && expect != id {
		_, _ = io.Copy(io.Discard, r.Body)
		return in.respond(c, 421, map[string]string{name("instanceID"): id, name("notExecuted"): "1"}, nil)
	}
	if r.URL.Path == healthPath {
		status := 200
		if leaving {
			status = 503
		}
		h := map[string]string{name("instanceID"): id, name("load"): in.loadHeader()}
		if cold > 0 {
			h[name("warmup")] = strconv.FormatInt(cold.Milliseconds()+1, 10)
		}
		return in.respond(c, status, h, nil)
	}
	if in.handle != nil && in.handle(in, c, r, reader) {
		return false
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	requestID := r.Header.Get("Request-Id")
	if !in.begin() {
		in.note(r, false)
		return in.respond(c, 503, map[string]string{"Request-Id": requestID, name("notExecuted"): "1", name("load"): in.loadHeader()}, nil)
	}
	in.note(r, true)
	work := in.work
	if cold > 0 {
		work *= 2
	}
	time.Sleep(work)
	in.finish()
	return in.respond(c, 200, map[string]string{"Request-Id": requestID, name("stamp"): stampOf(id, requestID), name("load"): in.loadHeader()}, answerBody(requestID, len(body)))
}

// stampOf stands for the mark of an answer.
func stampOf(id, request string) string { return "stamp." + id + "." + request }

// answerBody is the body of the answer to a request.
func answerBody(request string, n int) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("%s/%d;", request, n)), 100)
}

// begin waits for a slot. It reports false if the queue is full.
func (in *instance) begin() bool {
	in.mu.Lock()
	free := in.free
	if in.waiting >= in.queue {
		in.mu.Unlock()
		return false
	}
	in.waiting++
	in.mu.Unlock()
	free <- struct{}{}
	in.mu.Lock()
	in.waiting--
	in.running++
	in.mu.Unlock()
	return true
}

func (in *instance) finish() {
	in.mu.Lock()
	in.running--
	free := in.free
	in.mu.Unlock()
	<-free
}

// note records the arrival of a request.
func (in *instance) note(r *http.Request, ran bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	a := arrival{at: time.Now(), id: r.Header.Get("Request-Id"), instance: in.id, born: in.born, path: r.URL.Path, ran: ran}
	in.arrivals = append(in.arrivals, a)
	in.rec.addAt(a.at, "request %s %s reaches instance %s, born %d, ran %v", a.id, a.path, a.instance, a.born, ran)
}

// seen returns the arrivals so far.
func (in *instance) seen() []arrival {
	in.mu.Lock()
	defer in.mu.Unlock()
	return append([]arrival(nil), in.arrivals...)
}

func (in *instance) respond(c net.Conn, status int, h map[string]string, body []byte) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range h {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Keep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	_, err := c.Write(b.Bytes())
	return err == nil
}

// beat returns the body of the next status report.
func (in *instance) beat(state string) []byte {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.sequence++
	cold := max(0, time.Until(in.coldUntil).Milliseconds())
	return fmt.Appendf(nil, beatFormat,
		in.address, in.born, in.service, in.zone, in.slots, state, in.sequence, cold)
}

func (in *instance) beatPath() string   { return name("instancesPath") + in.id + "/heartbeat" }
func (in *instance) leavePath() string  { return name("instancesPath") + in.id + "/deregister" }
func (in *instance) leaveBody() []byte  { return fmt.Appendf(nil, `{"born":%d}`, in.born) }
func (in *instance) setBeats(stop bool) { in.mu.Lock(); in.stopBeats = stop; in.mu.Unlock() }

// report sends status reports about every 1.5 s until ctx ends. One that gets no answer
// within a second goes to the next machine.
func (in *instance) report(ctx context.Context) {
	for n := 0; ; n++ {
		in.mu.Lock()
		silent := in.stopBeats || in.ended
		in.mu.Unlock()
		if !silent {
			body := in.beat("ready")
			for attempt := range in.cluster.controls {
				m := in.cluster.controls[(n+attempt)%len(in.cluster.controls)]
				status, _, err := callControl(ctx, "http://"+m.control()+in.beatPath(), http.MethodPost, body)
				if err == nil && status/100 == 2 {
					break
				}
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}
