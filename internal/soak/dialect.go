package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/juju/errors"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/gateway"
)

// Ports of the processes; each VM has an IP address of its own.
const (
	callerPort   = 8080
	clusterPort  = 7002
	operatorPort = 8081
	// linkPort is that of the link to the cluster port, for dialects with own links.
	linkPort = 7102
)

// VM is one VM of the system.
type VM struct {
	Name, Zone, IP string
	Control        bool
	// ID is the replica ID of a control VM.
	ID      uint64
	DataDir string
	// ClusterAddress is the address at which others reach the process.
	ClusterAddress string
	// Seeds are the cluster addresses of control VMs.
	Seeds []string
	// FirstStart is set for the first start of the whole system.
	FirstStart bool
}

// CallerAddress returns the address for callers.
func (v VM) CallerAddress() string { return v.address(callerPort) }

// OperatorAddress returns the address for operators and upstreams.
func (v VM) OperatorAddress() string { return v.address(operatorPort) }

// ClusterListen returns the address on which the process listens for others.
func (v VM) ClusterListen() string { return v.address(clusterPort) }

func (v VM) address(port int) string { return net.JoinHostPort(v.IP, strconv.Itoa(port)) }

// Launch is how a process is started.
type Launch struct {
	Args, Env []string
	// Settings is the text of its settings file.
	Settings string
}

// Operator makes the calls of operators and upstreams to one control VM. No error means
// that the call was acknowledged.
type Operator interface {
	ApplyState(ctx context.Context, state *catalogpb.DesiredState) error
	// ReadState returns the desired state in force, as it was applied.
	ReadState(ctx context.Context) (source string, err error)
	SetZoneOut(ctx context.Context, zone string, out bool) error
	Announce(ctx context.Context, u *catalogpb.Upstream) error
	Drop(ctx context.Context, id string, startedMs uint64) error
}

// Dialect is how callers, upstreams and operators talk to the system, and how its
// processes are started.
type Dialect struct {
	Name    string
	Headers gateway.Headers
	// FormatLoad returns the value of Headers.Load.
	FormatLoad func(running, waiting, slots, slowPercent int) string
	// OwnLinks is set if a VM may have a link of the soak before its cluster address.
	OwnLinks bool
	// Launch returns how the process of a VM is started with the settings file.
	Launch func(vm VM, file string) Launch
	// Operator returns the calls to a control VM.
	Operator func(vm VM, client *http.Client) Operator
	// Source returns the text of a desired state as it is read back.
	Source func(state *catalogpb.DesiredState) string
}

// OwnDialect is the product's own interface.
func OwnDialect() Dialect {
	return Dialect{
		Name:    "own",
		Headers: gateway.DefaultHeaders(),
		FormatLoad: func(running, waiting, slots, slowPercent int) string {
			return fmt.Sprintf("%d %d %d %d", running, waiting, slots, slowPercent)
		},
		OwnLinks: true,
		Launch:   ownLaunch,
		Operator: func(vm VM, client *http.Client) Operator {
			return ownOperator{adminpb.NewAdminProtobufClient("http://"+vm.OperatorAddress(), client)}
		},
		Source: func(state *catalogpb.DesiredState) string { return string(state.Source) },
	}
}

func ownLaunch(vm VM, file string) Launch {
	var b strings.Builder
	fmt.Fprintf(&b, "zone = %q\ncluster_listen = %q\ncluster_address = %q\ntrust_network = true\n", vm.Zone, vm.ClusterListen(), vm.ClusterAddress)
	quoted := make([]string, len(vm.Seeds))
	for i, s := range vm.Seeds {
		quoted[i] = strconv.Quote(s)
	}
	seeds := strings.Join(quoted, ", ")
	role := "gateway"
	if vm.Control {
		role = "control"
		fmt.Fprintf(&b, "data_dir = %q\noperator_listen = %q\nseeds = [%s]\nfirst_start = %v\nheartbeat_ms = 120\nelection_ms = 600\nlost_after_ms = 4000\n",
			vm.DataDir, vm.OperatorAddress(), seeds, vm.FirstStart)
	} else {
		fmt.Fprintf(&b, "id = %q\nregion = \"soak\"\ncaller_listen = %q\ncaller_address = %q\ncontrol = [%s]\nserve_ms = 1000\nstop_ms = 5000\n",
			vm.Name, vm.CallerAddress(), vm.CallerAddress(), seeds)
		fmt.Fprintf(&b, "[retry]\nratio = %v\nslack = %v\nwindow_ms = %d\n", retryRatio, float64(retrySlack), retryWindow.Milliseconds())
	}
	return Launch{Args: []string{role, "--settings", file}, Settings: b.String()}
}

// ownOperator is the Operator of the product's own interface.
type ownOperator struct{ admin adminpb.Admin }

func (o ownOperator) ApplyState(ctx context.Context, state *catalogpb.DesiredState) error {
	_, err := o.admin.ApplyState(ctx, &adminpb.ApplyStateRequest{State: state})
	return errors.Trace(err)
}

func (o ownOperator) ReadState(ctx context.Context) (string, error) {
	resp, err := o.admin.ReadState(ctx, &adminpb.ReadStateRequest{})
	if err != nil {
		return "", errors.Trace(err)
	}
	return string(resp.Source), nil
}

func (o ownOperator) SetZoneOut(ctx context.Context, zone string, out bool) error {
	_, err := o.admin.SetZoneOut(ctx, &adminpb.SetZoneOutRequest{Change: &catalogpb.SetZoneOut{Zone: zone, Out: out}})
	return errors.Trace(err)
}

func (o ownOperator) Announce(ctx context.Context, u *catalogpb.Upstream) error {
	_, err := o.admin.AnnounceUpstream(ctx, &adminpb.AnnounceUpstreamRequest{Upstream: u})
	return errors.Trace(err)
}

func (o ownOperator) Drop(ctx context.Context, id string, startedMs uint64) error {
	_, err := o.admin.DropUpstream(ctx, &adminpb.DropUpstreamRequest{Drop: &catalogpb.DropUpstream{Id: id, StartedMs: startedMs}})
	return errors.Trace(err)
}
