package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"balsamcourse.example/balsamcourse/internal/testbed"
)

// zones is the number of availability zones.
const zones = 3

func zoneName(i int) string { return string(rune('a' + i)) }

// size is the number of VMs, upstreams and callers of a run.
type size struct {
	controls, gateways, upstreams, callers int
	// gap is the mean time between disruptions in a storm.
	gap time.Duration
}

var sizes = map[string]size{
	"small": {3, 5, 8, 12, 500 * time.Millisecond},
	"usual": {5, 20, 24, 30, 250 * time.Millisecond},
	"large": {7, 120, 90, 60, 120 * time.Millisecond},
}

// node is a VM with its process and its link.
type node struct {
	vm      VM
	process *testbed.Process
	// link is the link to the cluster address; nil in dialects without own links.
	link *proxy
	// busy is set while a disruption of the process lasts: one at a time.
	busy sync.Mutex
}

// system is the whole system under test.
type system struct {
	dir      string
	dialect  Dialect
	programs []string
	history  *history
	client   *http.Client

	controls, gateways []*node
	upstreams          []*upstream
}

// network is the part of 127.0.0.0/8 that this process uses: each VM has an address of
// its own, as its ports are the same on all VMs.
func network() int { return 16 + os.Getpid()%200 }

func address(group, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", network(), group*4+i/250, 1+i%250)
}

// newSystem prepares the VMs and upstreams; nothing runs yet.
func newSystem(dir string, d Dialect, s size, programs []string, h *history) (*system, error) {
	sys := &system{dir: dir, dialect: d, programs: programs, history: h, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
	for i := range s.controls {
		vm := VM{Name: fmt.Sprintf("control-%d", i+1), Zone: zoneName(i % zones), IP: address(0, i), Control: true, ID: uint64(i + 1), FirstStart: true}
		vm.DataDir = filepath.Join(dir, vm.Name)
		sys.controls = append(sys.controls, &node{vm: vm})
	}
	for i := range s.gateways {
		sys.gateways = append(sys.gateways, &node{vm: VM{Name: fmt.Sprintf("gateway-%d", i+1), Zone: zoneName(i % zones), IP: address(1, i)}})
	}
	var seeds []string
	for _, n := range sys.nodes() {
		if err := sys.link(n); err != nil {
			return nil, err
		}
	}
	for _, n := range sys.controls[:min(3, len(sys.controls))] {
		seeds = append(seeds, n.vm.ClusterAddress)
	}
	for _, n := range sys.nodes() {
		n.vm.Seeds = seeds
		if err := sys.writeSettings(n); err != nil {
			return nil, err
		}
	}
	for i := range s.upstreams {
		ip := address(2, i)
		u := &upstream{
			index: i, zone: i % zones, pool: []string{poolA, poolB}[i/zones%2], listen: ip + ":9000", announced: ip + ":9100",
			headers: d.Headers, formatLoad: d.FormatLoad, operators: sys.anyOperator, history: h,
		}
		link, err := newProxy(u.announced, u.listen)
		if err != nil {
			return nil, err
		}
		u.link = link
		sys.upstreams = append(sys.upstreams, u)
	}
	return sys, nil
}

func (s *system) nodes() []*node { return append(append([]*node(nil), s.controls...), s.gateways...) }

// link gives the VM its cluster address, that of a link if the dialect has any.
func (s *system) link(n *node) error {
	n.vm.ClusterAddress = n.vm.ClusterListen()
	if !s.dialect.OwnLinks {
		return nil
	}
	n.vm.ClusterAddress = n.vm.address(linkPort)
	link, err := newProxy(n.vm.ClusterAddress, n.vm.ClusterListen())
	n.link = link
	return err
}

// writeSettings writes the settings file of the VM and prepares its process.
func (s *system) writeSettings(n *node) error {
	file := filepath.Join(s.dir, n.vm.Name+".settings")
	c := s.dialect.Launch(n.vm, file)
	if err := os.WriteFile(file, []byte(c.Settings), 0o600); err != nil {
		return errors.Trace(err)
	}
	if n.process == nil {
		n.process = &testbed.Process{Name: n.vm.Name, Program: s.programs[0], Log: filepath.Join(s.dir, n.vm.Name+".log")}
	}
	n.process.Args, n.process.Env = c.Args, append(os.Environ(), c.Env...)
	return nil
}

// start starts all processes and upstreams.
func (s *system) start(ctx context.Context) error {
	for _, n := range s.nodes() {
		if err := n.process.Start(); err != nil {
			return err
		}
		// Only the start of the whole system forms a new group.
		n.vm.FirstStart = false
	}
	for _, u := range s.upstreams {
		if err := u.run(ctx); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and upstreams.
func (s *system) close() {
	for _, u := range s.upstreams {
		u.crash()
		u.link.close()
	}
	for _, n := range s.nodes() {
		if n.process != nil && n.process.Started() {
			n.process.Signal(syscall.SIGCONT)
			n.process.Kill()
		}
		if n.link != nil {
			n.link.close()
		}
	}
	s.client.CloseIdleConnections()
}

// anyOperator returns the calls to a random control VM.
func (s *system) anyOperator() Operator {
	return s.dialect.Operator(s.controls[rand.IntN(len(s.controls))].vm, s.client)
}

// callerAddresses returns the addresses of the gateways for callers.
func (s *system) callerAddresses() []string {
	out := make([]string, len(s.gateways))
	for i, n := range s.gateways {
		out[i] = n.vm.CallerAddress()
	}
	return out
}

// restart starts the process again, whose settings file is written anew.
func (s *system) restart(n *node) error {
	if err := s.writeSettings(n); err != nil {
		return err
	}
	return n.process.Start()
}

// wipe removes the data of a control VM that does not run.
func (s *system) wipe(n *node) error { return errors.Trace(os.RemoveAll(n.vm.DataDir)) }

// move gives the VM another IP address, at which its process comes back under its ID.
// Callers keep the old address: that of the listener for them does not change.
func (s *system) move(n *node) error {
	if n.link != nil {
		n.link.close()
	}
	port := linkPort + 1 + int(n.moves())
	n.vm.ClusterAddress = n.vm.address(port)
	link, err := newProxy(n.vm.ClusterAddress, n.vm.ClusterListen())
	n.link = link
	return err
}

// moves returns how often the cluster address has changed.
func (n *node) moves() int {
	_, port, ok := cutLast(n.vm.ClusterAddress, ':')
	if !ok {
		return 0
	}
	at, err := strconv.Atoi(port)
	if err != nil {
		return 0
	}
	return at - linkPort
}

func cutLast(s string, sep byte) (before, after string, ok bool) {
	for i := len(s) - 1; i >= 0; i-- {
		if s[i] == sep {
			return s[:i], s[i+1:], true
		}
	}
	return s, "", false
}
