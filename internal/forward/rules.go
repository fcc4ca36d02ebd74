package forward

import (
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/julienschmidt/httprouter"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
)

// policy says how one request may be handled.
type policy struct {
	// repeatable is set when the request may be sent more than once.
	repeatable bool
	// keyRequired is set when a request without an Idempotency-Key is
	// refused.
	keyRequired bool
}

// compiledRules holds the matchers of one view by service, in rule order.
type compiledRules struct {
	view     *configview.View
	services map[string][]ruleMatcher
}

// ruleMatcher matches requests against one rule.
type ruleMatcher struct {
	method string
	// router holds the path pattern of the rule, registered under GET whatever
	// the method of the rule is.
	router *httprouter.Router
	policy policy
}

// ruleCache caches the compiled rules of the view that was used last.
type ruleCache struct {
	current atomic.Pointer[compiledRules]
}

// policy returns the policy of the first rule that matches the method and
// the path below the service's prefix. Without a match, GET, HEAD and
// OPTIONS are repeatable and all other methods are not.
func (rc *ruleCache) policy(v *configview.View, s *catalogpb.Service, r *http.Request) policy {
	c := rc.current.Load()
	if c == nil || c.view != v {
		c = compileRules(v)
		rc.current.Store(c)
	}
	path := strings.TrimPrefix(r.URL.Path, strings.TrimSuffix(s.PathPrefix, "/"))
	if path == "" {
		path = "/"
	}
	for _, m := range c.services[s.Name] {
		if m.matches(r.Method, path) {
			return m.policy
		}
	}
	return policy{repeatable: isSafe(r.Method)}
}

// isSafe reports whether the method is GET, HEAD or OPTIONS.
func isSafe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

func compileRules(v *configview.View) *compiledRules {
	c := &compiledRules{view: v, services: make(map[string][]ruleMatcher)}
	for _, r := range v.Config.Rules {
		c.services[r.Service] = append(c.services[r.Service], newRuleMatcher(r))
	}
	return c
}

func newRuleMatcher(r *catalogpb.Rule) ruleMatcher {
	router := httprouter.New()
	router.Handle(http.MethodGet, r.PathPattern, func(http.ResponseWriter, *http.Request, httprouter.Params) {})
	return ruleMatcher{
		method: r.Method,
		router: router,
		policy: policy{repeatable: r.Repeatable, keyRequired: r.KeyRequired},
	}
}

func (m ruleMatcher) matches(method, path string) bool {
	if m.method != "*" && m.method != method {
		return false
	}
	h, _, _ := m.router.Lookup(http.MethodGet, path)
	return h != nil
}
