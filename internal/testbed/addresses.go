package testbed

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/juju/errors"
)

// Ports of FreeAddresses. They are below the range of ephemeral ports, so that
// neither an outgoing connection nor a listener on a port chosen by the operating
// system can take one before it is used.
const (
	firstPort = 12_000
	portCount = 18_000
)

var (
	nextPortMu sync.Mutex
	// nextPort is the offset of the next port to try. It depends on the process ID,
	// so that test runs at the same time try different ports.
	nextPort = os.Getpid() * 131 % portCount
)

// FreeAddresses returns n different loopback addresses with free TCP ports, none
// of which it has returned in its last calls in this process. The ports are
// released on return, so another process may still take them. It fails when no
// port is free.
func FreeAddresses(n int) ([]string, error) {
	nextPortMu.Lock()
	defer nextPortMu.Unlock()
	out := make([]string, 0, n)
	for range portCount {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+nextPort%portCount))
		nextPort++
		l, err := net.Listen("tcp", address)
		if err != nil {
			// Another process listens on it.
			continue
		}
		_ = l.Close()
		if out = append(out, address); len(out) == n {
			return out, nil
		}
	}
	return nil, errors.Errorf("no %d free ports from %d to %d", n, firstPort, firstPort+portCount-1)
}
