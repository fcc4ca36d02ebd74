package testbed

import (
	"net"

	"github.com/juju/errors"
)

// FreeAddresses returns n different loopback addresses with free TCP ports.
// The ports are released on return, so another process may still take them.
// It fails when the operating system has no free port.
func FreeAddresses(n int) ([]string, error) {
	out := make([]string, n)
	for i := range out {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Trace(err)
		}
		defer func() { _ = l.Close() }()
		out[i] = l.Addr().String()
	}
	return out, nil
}
