package testbed

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// Size of the restart test. Each rule is put twice.
const (
	manyRules   = 150
	manyChanges = 2 * manyRules
	changeWait  = 10 * time.Second
)

// operator makes changes without a process for each of them.
type operator struct {
	c       *cluster
	name    string
	clients []adminpb.Admin
}

func newOperator(c *cluster, name, key string) *operator {
	o := &operator{c: c, name: name}
	client := &http.Client{Transport: keyTransport{key}, Timeout: 2 * changeWait}
	c.t.Cleanup(client.CloseIdleConnections)
	for _, a := range c.controlOperator {
		o.clients = append(o.clients, adminpb.NewAdminProtobufClient("http://"+a, client))
	}
	return o
}

// keyTransport adds the operators' key.
type keyTransport struct{ key string }

func (t keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+t.key)
	return http.DefaultTransport.RoundTrip(r)
}

// apply sends a change until a control VM answers that it is accepted or
// refused.
func (o *operator) apply(number uint64, rule *catalogpb.Rule) *catalogpb.ChangeResult {
	o.c.t.Helper()
	req := &adminpb.ApplyRequest{
		Change: &catalogpb.OperatorChange{
			Id:     &catalogpb.ChangeID{Operator: o.name, Number: number},
			Change: &catalogpb.Change{Kind: &catalogpb.Change_PutRule{PutRule: rule}},
		},
		WaitMs: uint32(changeWait.Milliseconds()),
	}
	var result *catalogpb.ChangeResult
	waitFor(o.c.t, "change", func() string {
		why := "no control VM"
		for _, client := range o.clients {
			resp, err := client.Apply(context.Background(), req)
			if err != nil {
				why = err.Error()
				continue
			}
			result = resp.GetResult()
			if resp.GetAccepted() || result.GetOutcome() != catalogpb.ChangeOutcome_CHANGE_OUTCOME_APPLIED {
				return ""
			}
			why = fmt.Sprintf("not accepted, missing %v", resp.GetMissing())
		}
		return why
	})
	return result
}

// config returns the configuration.
func (o *operator) config() *catalogpb.Config {
	o.c.t.Helper()
	var config *catalogpb.Config
	waitFor(o.c.t, "configuration", func() string {
		why := "no control VM"
		for _, client := range o.clients {
			resp, err := client.GetConfig(context.Background(), &adminpb.GetConfigRequest{})
			if err != nil {
				why = err.Error()
				continue
			}
			config = resp.GetConfig()
			return ""
		}
		return why
	})
	return config
}

// ruleOf is the content of change n.
func ruleOf(n int) *catalogpb.Rule {
	name := fmt.Sprintf("r%03d", n%manyRules)
	return &catalogpb.Rule{Service: "booking", Name: name, Method: "GET", PathPattern: "/" + name, Repeatable: n >= manyRules}
}

// TestRestartAfterManyChanges kills all control VMs at once after hundreds of
// accepted changes.
func TestRestartAfterManyChanges(t *testing.T) {
	c := newClusterWith(t, 3, 2, "snapshot_every = 100\n")
	c.configure()
	o := newOperator(c, "tester", operatorKey)
	var last *catalogpb.ChangeResult
	for n := range manyChanges {
		last = o.apply(uint64(n+1), ruleOf(n))
		assert.Equal(t, last.GetOutcome(), catalogpb.ChangeOutcome_CHANGE_OUTCOME_APPLIED)
	}
	for _, p := range c.controls {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range c.controls {
		p.kill()
	}
	for _, p := range c.controls {
		p.start()
	}
	checkRules(t, o.config())
	again := o.apply(manyChanges, ruleOf(manyChanges-1))
	assert.Assert(t, proto.Equal(again, last), "resend answered %v after %v", again, last)
	other := o.apply(manyChanges, ruleOf(0))
	assert.Equal(t, other.GetOutcome(), catalogpb.ChangeOutcome_CHANGE_OUTCOME_CONFLICT)
	added := &catalogpb.Rule{Service: "booking", Name: "added", Method: "GET", PathPattern: "/added"}
	foreign := newOperator(c, "another", anotherKey).apply(manyChanges, added)
	assert.Equal(t, foreign.GetOutcome(), catalogpb.ChangeOutcome_CHANGE_OUTCOME_APPLIED)
	assert.Assert(t, foreign.GetRevision() > last.GetRevision())
	checkRules(t, o.config())
}

// checkRules looks for the newest content of each rule.
func checkRules(t *testing.T, config *catalogpb.Config) {
	t.Helper()
	found := make(map[string]*catalogpb.Rule)
	for _, r := range config.GetRules() {
		found[r.GetName()] = r
	}
	for n := manyRules; n < manyChanges; n++ {
		want := ruleOf(n)
		assert.Assert(t, proto.Equal(found[want.GetName()], want), "rule %s is %v", want.GetName(), found[want.GetName()])
	}
}
