package forward

import (
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/julienschmidt/httprouter"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/view"
)

// policy is what the rules allow for one request.
type policy struct {
	repeatable  bool
	keyRequired bool
}

// compiled holds the rules of one view.
type compiled struct {
	view     *view.View
	services map[string][]matcher
}

// matcher is one rule ready for matching.
type matcher struct {
	method string
	router *httprouter.Router
	policy policy
}

// ruleCache keeps the compiled rules of the view that was used last.
type ruleCache struct {
	current atomic.Pointer[compiled]
}

// policy returns what the first matching rule allows. Without a match, safe
// methods may be repeated and all others may not.
func (rc *ruleCache) policy(v *view.View, s *catalogpb.Service, r *http.Request) policy {
	c := rc.current.Load()
	if c == nil || c.view != v {
		c = compile(v)
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

func isSafe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

func compile(v *view.View) *compiled {
	c := &compiled{view: v, services: make(map[string][]matcher)}
	for _, r := range v.Config.Rules {
		c.services[r.Service] = append(c.services[r.Service], newMatcher(r))
	}
	return c
}

func newMatcher(r *catalogpb.Rule) matcher {
	router := httprouter.New()
	router.Handle(http.MethodGet, r.PathPattern, func(http.ResponseWriter, *http.Request, httprouter.Params) {})
	return matcher{
		method: r.Method,
		router: router,
		policy: policy{repeatable: r.Repeatable, keyRequired: r.KeyRequired},
	}
}

func (m matcher) matches(method, path string) bool {
	if m.method != "*" && m.method != method {
		return false
	}
	h, _, _ := m.router.Lookup(http.MethodGet, path)
	return h != nil
}
