package httpnet

import (
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// SocketBufferBytes is the size of the buffers in the kernel of a connection that carries
// what clients send or read. It is the size with which the kernel begins; left alone, it
// would let them grow to several MiB.
const SocketBufferBytes = 64 << 10

// LimitBuffers sets the sizes of the buffers in the kernel of a socket that is not connected
// yet, in bytes.
func LimitBuffers(raw syscall.RawConn, receive, send int) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		for option, size := range map[int]int{unix.SO_RCVBUF: receive, unix.SO_SNDBUF: send} {
			if err := unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, size); err != nil {
				failed = os.NewSyscallError("setsockopt", err)
			}
		}
	})
	if err != nil {
		return err
	}
	return failed
}

// LimitDialedBuffers is the Control function of a net.Dialer for connections to upstreams.
func LimitDialedBuffers(_, _ string, raw syscall.RawConn) error {
	return LimitBuffers(raw, SocketBufferBytes, SocketBufferBytes)
}
