package httpnet

import (
	"context"
	"net"
	"strconv"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// unresponsiveAddress returns the address of a listener whose queue of connections is
// full, so that further connection attempts get no answer.
func unresponsiveAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	assert.NilError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	assert.NilError(t, err)
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*syscall.SockaddrInet4).Port))
	for range 4 {
		conn, err := net.DialTimeout("tcp4", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("the queue of the listener takes more connections than expected")
	return ""
}

// Without a shorter timeout for some requests, a VM that is not up yet delays the first
// configuration of a gateway by the timeout of all other requests.
func TestRequestMayShortenTheDialTimeout(t *testing.T) {
	address := unresponsiveAddress(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err := DialWithTimeout(time.Hour)(WithDialTimeout(ctx, 20*time.Millisecond), "tcp4", address)
	assert.ErrorContains(t, err, "i/o timeout")
	assert.NilError(t, ctx.Err())
}
