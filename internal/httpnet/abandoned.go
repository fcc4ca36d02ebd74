package httpnet

import (
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// RefuseAbandoned returns a handler that calls next unless the client has closed its
// connection by the time at which its request is read. The request may have waited in a
// socket while the process did not run, or in the network, and the client may have sent it
// elsewhere since. refused is called for each request that is not handled; nobody reads the
// answer to it. Clients of HTTP/2 end their requests without closing the connection, which
// ends the context of the request.
func RefuseAbandoned(next http.Handler, refused func(*http.Request)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(*limitedConn)
		if r.Context().Err() != nil || conn != nil && closedByPeer(conn.Conn) {
			refused(r)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// States of a TCP connection that its other side has closed or reset.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// closedByPeer reports whether the other side of a TCP connection is known to have closed
// or reset it.
func closedByPeer(conn net.Conn) bool {
	sc, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	// An error means that this side has closed the connection; there is no answer to send.
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = infoErr == nil && (info.State == tcpClose || info.State == tcpCloseWait)
	})
	return closed || err != nil
}
