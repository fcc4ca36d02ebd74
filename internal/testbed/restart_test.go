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

const (
	ruleCount     = 150
	changeCount   = 2 * ruleCount
	acceptTimeout = 10 * time.Second
)

// operatorClient makes changes as one operator through the admin API, without
// starting a command for each.
type operatorClient struct {
	c       *cluster
	name    string
	clients []adminpb.Admin
}

func newOperatorClient(c *cluster, name, key string) *operatorClient {
	o := &operatorClient{c: c, name: name}
	client := &http.Client{Transport: keyTransport{key}, Timeout: 2 * acceptTimeout}
	c.t.Cleanup(client.CloseIdleConnections)
	for _, a := range c.controlOperator {
		o.clients = append(o.clients, adminpb.NewAdminProtobufClient("http://"+a, client))
	}
	return o
}

// keyTransport adds the operator's key to each request.
type keyTransport struct{ key string }

func (t keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+t.key)
	return http.DefaultTransport.RoundTrip(r)
}

// apply resends a change under the same number until a control VM answers that
// it is accepted or rejected.
func (o *operatorClient) apply(number uint64, rule *catalogpb.Rule) *catalogpb.ChangeResult {
	o.c.t.Helper()
	req := &adminpb.ApplyRequest{
		Change: &catalogpb.OperatorChange{
			Id:     &catalogpb.ChangeID{Operator: o.name, Number: number},
			Change: &catalogpb.Change{Kind: &catalogpb.Change_PutRule{PutRule: rule}},
		},
		WaitMs: uint32(acceptTimeout.Milliseconds()),
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

// config returns the configuration from the first control VM that answers.
func (o *operatorClient) config() *catalogpb.Config {
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

// ruleForChange returns the rule that change n puts.
func ruleForChange(n int) *catalogpb.Rule {
	name := fmt.Sprintf("r%03d", n%ruleCount)
	return &catalogpb.Rule{Service: "booking", Name: name, Method: "GET", PathPattern: "/" + name, Repeatable: n >= ruleCount}
}

// TestAcceptedChangesSurviveRestartOfAllControlVMs guards against the loss of
// accepted changes, and of the results kept for resent ones, when all control
// VMs are killed at once after hundreds of changes and several snapshots.
func TestAcceptedChangesSurviveRestartOfAllControlVMs(t *testing.T) {
	c := newClusterWith(t, 3, 2, "snapshot_every = 100\n")
	c.configureBooking()
	o := newOperatorClient(c, "tester", operatorKey)
	results := make([]*catalogpb.ChangeResult, changeCount)
	for n := range results {
		results[n] = o.apply(uint64(n+1), ruleForChange(n))
		assert.Equal(t, results[n].GetOutcome(), catalogpb.ChangeOutcome_CHANGE_OUTCOME_APPLIED)
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
	for _, n := range []int{0, changeCount - 1} {
		repeated := o.apply(uint64(n+1), ruleForChange(n))
		assert.Assert(t, proto.Equal(repeated, results[n]), "resent change got result %v, first one got %v", repeated, results[n])
	}
	conflicting := o.apply(changeCount, ruleForChange(0))
	assert.Equal(t, conflicting.GetOutcome(), catalogpb.ChangeOutcome_CHANGE_OUTCOME_CONFLICT)
	added := &catalogpb.Rule{Service: "booking", Name: "added", Method: "GET", PathPattern: "/added"}
	fromOtherOperator := newOperatorClient(c, "another", anotherKey).apply(changeCount, added)
	assert.Equal(t, fromOtherOperator.GetOutcome(), catalogpb.ChangeOutcome_CHANGE_OUTCOME_APPLIED)
	assert.Assert(t, fromOtherOperator.GetRevision() > results[changeCount-1].GetRevision())
	checkRules(t, o.config())
}

// checkRules checks that the configuration contains the last version of each
// rule.
func checkRules(t *testing.T, config *catalogpb.Config) {
	t.Helper()
	found := make(map[string]*catalogpb.Rule)
	for _, r := range config.GetRules() {
		found[r.GetName()] = r
	}
	for n := ruleCount; n < changeCount; n++ {
		want := ruleForChange(n)
		assert.Assert(t, proto.Equal(found[want.GetName()], want), "rule %s is %v, want %v", want.GetName(), found[want.GetName()], want)
	}
}
