package upstreamconn

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// maxStatus is the highest status of an HTTP response.
const maxStatus = 599

// Errors of an upstream whose response HTTP does not allow.
var (
	errStatus         = errors.New("upstream sent a response with an invalid status")
	errBodyNotAllowed = errors.New("upstream sent a body in a response without one")
	errTwoFramings    = errors.New("upstream sent a response with both a length and chunks")
	errReset          = errors.New("upstream reset the connection before the end of its response")
)

// checkHead returns an error if HTTP does not allow the response, which http.ReadResponse
// has accepted. raw is what has been read since the start of its head.
func checkHead(resp *http.Response, raw []byte) error {
	switch {
	case resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus:
		return errStatus
	case resp.StatusCode == http.StatusNoContent && (resp.Header.Get("Content-Length") != "" && resp.Header.Get("Content-Length") != "0" || len(resp.TransferEncoding) > 0):
		return errBodyNotAllowed
	case len(resp.TransferEncoding) > 0 && HasField(raw, "content-length"):
		// http.ReadResponse ignores the length.
		return errTwoFramings
	}
	return nil
}

// HasField reports whether the head at the start of raw has a field with the name, which
// must be in lower case.
func HasField(raw []byte, name string) bool {
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return false
		}
		field, _, ok := bytes.Cut(line, []byte(":"))
		if ok && strings.EqualFold(string(field), name) {
			return true
		}
	}
	return false
}

// untilCloseBody is the body of a response that the end of the connection ends. If the
// goroutine that writes the request has received the error of a reset, reads return io.EOF
// as they do after a clean end.
type untilCloseBody struct {
	io.ReadCloser
	conn net.Conn
	x    *Exchange
}

// Read implements io.Reader. At the end it fails with errReset unless the upstream has
// ended its side of the connection cleanly.
func (b *untilCloseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.endedCleanly() {
		err = errReset
	}
	return n, err
}

// endedCleanly reports whether the connection has not been reset. Where that cannot be
// seen, the whole request must have been written.
func (b *untilCloseBody) endedCleanly() bool {
	if b.x.bodyWritten == nil {
		// Only this goroutine has used the connection since the request was written.
		return true
	}
	state, ok := tcpState(b.conn)
	if !ok {
		return b.x.fullySent()
	}
	return state != tcpClosed
}

// tcpClosed is the state of a connection that has been reset; one that the other side has
// ended cleanly is in another state (TCP_CLOSE_WAIT).
const tcpClosed = 7

// tcpState returns the state of a TCP connection. It reports false for others.
func tcpState(conn net.Conn) (state uint8, ok bool) {
	sc, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if ok = infoErr == nil; ok {
			state = info.State
		}
	})
	return state, ok && err == nil
}
