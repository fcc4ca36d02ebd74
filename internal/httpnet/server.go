package httpnet

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"balsamcourse.example/balsamcourse/internal/clientbudget"
	"balsamcourse.example/balsamcourse/internal/event"
)

// Limits bounds the connections of a server and the headers of requests. Zero
// values stand for the defaults.
type Limits struct {
	MaxHeaderBytes    int
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
	MaxConnections    int
	// Budget bounds what the server holds for clients, together with the other servers of
	// the process; nil means no bound.
	Budget *Budget
	// Current returns limits of heads and idle connections that replace those above while
	// the server runs; nil means that they do not change. Its MaxHeaderBytes is at most
	// that above.
	Current func() Limits
}

// Default limits of a server.
const (
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxConnections = 4096
	// maxConcurrentStreams is the number of requests of one connection over HTTP/2 at a
	// time. Other processes of the system share one connection for all requests.
	maxConcurrentStreams = 4096
)

// http2Limits returns the limits of connections over HTTP/2. Those of clients are charged
// for what they allow: see clientbudget.HTTP2Bytes.
func http2Limits(clients bool) *http.HTTP2Config {
	if !clients {
		return &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams}
	}
	return &http.HTTP2Config{
		MaxConcurrentStreams:          clientbudget.HTTP2Streams,
		MaxReadFrameSize:              16 << 10,
		MaxReceiveBufferPerConnection: 64 << 10,
		MaxReceiveBufferPerStream:     64 << 10,
	}
}

// Endpoint is an address to listen on and the handler that serves it.
type Endpoint struct {
	Address string
	Handler http.Handler
}

// Recover returns a handler that recovers from panics of next and calls answer to
// write the response; p is the value passed to panic. It does not recover from
// http.ErrAbortHandler, with which handlers abort a response.
func Recover(next http.Handler, answer func(w http.ResponseWriter, p any)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			p := recover()
			if p == nil {
				return
			}
			if p == http.ErrAbortHandler {
				panic(p)
			}
			answer(w, p)
		}()
		next.ServeHTTP(w, r)
	})
}

// CloseWhenLeaving returns a handler that calls next and asks callers to close their
// connections with each response that begins while leaving is true, also if its request
// came before. An idle connection that a caller still uses could otherwise be closed
// under its next request.
func CloseWhenLeaving(next http.Handler, leaving func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&leavingWriter{ResponseWriter: w, leaving: leaving}, r)
	})
}

// leavingWriter is the http.ResponseWriter of CloseWhenLeaving.
type leavingWriter struct {
	http.ResponseWriter
	leaving func() bool
	begun   bool
}

// WriteHeader implements http.ResponseWriter.
func (w *leavingWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !w.begun {
		w.begun = true
		if w.leaving() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *leavingWriter) Write(b []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the writer for http.ResponseController.
func (w *leavingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// LimitReadTime returns a handler that calls next and makes reads of the request
// body fail after the time limit, which must be longer than next takes otherwise.
// It also bounds the time in which the server reads what next leaves of the body.
func LimitReadTime(next http.Handler, limit time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// It fails only for writers that have no connection.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(limit))
		next.ServeHTTP(w, r)
	})
}

// EndWith returns a handler that calls next with a request whose context also ends with
// ctx.
func EndWith(ctx context.Context, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requestCtx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(ctx, cancel)()
		next.ServeHTTP(w, r.WithContext(requestCtx))
	})
}

// RemoteHost returns the client address of r without the port.
func RemoteHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// Server is a running HTTP server on one listener.
type Server struct {
	http     *http.Server
	open     *openConns
	listener *limitedListener
	// served is closed when the server accepts no more connections.
	served chan struct{}
	failed chan error
}

// ListenLogged is like Listen, and also logs a failure as event.ListenFailed.
func ListenLogged(log event.Logger, address string, h http.Handler, limits Limits) (*Server, error) {
	s, err := Listen(address, h, limits)
	if err != nil {
		log.Log(event.ListenFailed).Str("address", address).Err(err).Send()
	}
	return s, errors.Trace(err)
}

// Listen listens on the TCP address and serves h, over HTTP/1.1 and over HTTP/2
// without TLS, until Shutdown or Close.
func Listen(address string, h http.Handler, limits Limits) (*Server, error) {
	limits = limits.withDefaults()
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen on %s", address)
	}
	l, err := listenTCP(resolved, limits.Budget)
	if err != nil {
		return nil, errors.Annotatef(err, "listen on %s", address)
	}
	if limits.Budget != nil {
		h = limits.Budget.Wrap(h)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	open := newOpenConns()
	s := &Server{
		http: &http.Server{
			Handler:           h,
			ReadHeaderTimeout: limits.ReadHeaderTimeout,
			IdleTimeout:       limits.IdleTimeout,
			MaxHeaderBytes:    limits.MaxHeaderBytes,
			Protocols:         protocols,
			HTTP2:             http2Limits(limits.Budget != nil),
			ErrorLog:          log.New(io.Discard, "", 0),
			ConnState:         open.record,
			ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
				return context.WithValue(ctx, connKey{}, conn)
			},
		},
		open:     open,
		listener: newLimitedListener(l, limits.MaxConnections),
		served:   make(chan struct{}),
		failed:   make(chan error, 1),
	}
	s.listener.budget, s.listener.current = limits.Budget, limits.Current
	go s.serve()
	return s, nil
}

// listenTCP listens on the address. For clients, what the kernel holds of their connections
// is bounded; a nil budget means that there are no clients.
func listenTCP(address *net.TCPAddr, b *Budget) (*net.TCPListener, error) {
	if b == nil {
		return net.ListenTCP("tcp", address)
	}
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return LimitBuffers(raw, clientbudget.QueuedBytes, SocketBufferBytes)
	}}
	// As net.ListenTCP does.
	config.SetMultipathTCP(false)
	l, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, err
	}
	tcp := l.(*net.TCPListener)
	if err := limitBacklog(tcp, b.Stats().Limits.Queue); err != nil {
		_ = l.Close()
		return nil, err
	}
	return tcp, nil
}

// limitBacklog bounds the number of connections that are not accepted yet.
func limitBacklog(l *net.TCPListener, backlog int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = unix.Listen(int(fd), backlog) }); err != nil {
		return err
	}
	return os.NewSyscallError("listen", failed)
}

func (l Limits) withDefaults() Limits {
	if l.MaxHeaderBytes == 0 {
		l.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if l.ReadHeaderTimeout == 0 {
		l.ReadHeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	if l.MaxConnections == 0 {
		l.MaxConnections = defaultMaxConnections
	}
	return l
}

func (s *Server) serve() {
	defer close(s.served)
	err := s.http.Serve(s.listener)
	if !errors.Is(err, http.ErrServerClosed) && !s.listener.stopping() {
		s.failed <- err
	}
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Failed returns a channel that receives an error if the server stops without
// Shutdown or Close.
func (s *Server) Failed() <-chan error { return s.failed }

// Shutdown stops accepting connections and waits for requests in flight, those on
// connections that were open already included. When ctx ends first, it closes the
// remaining connections and returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.listener.stop()
	// The server knows of a connection only once Serve has taken it from Accept.
	select {
	case <-s.served:
	case <-ctx.Done():
	}
	s.open.drain(ctx)
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	return errors.Trace(err)
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() error { return errors.Trace(s.http.Close()) }
