package forward

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
)

func TestFirstMatchingRuleSetsPolicy(t *testing.T) {
	s := &catalogpb.Service{Name: "s", PathPrefix: "/s"}
	v := configview.New(&catalogpb.Config{
		Services: []*catalogpb.Service{s},
		Rules: []*catalogpb.Rule{
			{Service: "s", Method: "POST", PathPattern: "/search", Repeatable: true},
			{Service: "s", Method: "POST", PathPattern: "/pay/:id", KeyRequired: true},
			{Service: "s", Method: "*", PathPattern: "/files/*rest", Repeatable: true},
			{Service: "s", Method: "PUT", PathPattern: "/files/*rest", KeyRequired: true},
			{Service: "s", Method: "GET", PathPattern: "/once", KeyRequired: true},
			{Service: "other", Method: "*", PathPattern: "/mail", Repeatable: true},
		},
	})
	repeatable := policy{repeatable: true}
	keyRequired := policy{keyRequired: true}
	cases := []struct {
		method, path string
		want         policy
	}{
		{"POST", "/s/search", repeatable},
		{"PUT", "/s/search", policy{}},
		{"POST", "/s/search/deep", policy{}},
		{"POST", "/s/pay/7", keyRequired},
		{"POST", "/s/pay", policy{}},
		{"POST", "/s/pay/7/8", policy{}},
		{"PUT", "/s/files/a/b", repeatable},
		{"DELETE", "/s/files/a", repeatable},
		{"GET", "/s/once", keyRequired},
		{"GET", "/s", repeatable},
		{"HEAD", "/s/x", repeatable},
		{"OPTIONS", "/s/x", repeatable},
		{"POST", "/s", policy{}},
		{"DELETE", "/s/x", policy{}},
		{"POST", "/s/mail", policy{}},
	}
	var rules ruleCache
	for _, tc := range cases {
		t.Run(tc.method+" "+tc.path, func(t *testing.T) {
			assert.Equal(t, rules.policy(v, s, httptest.NewRequest(tc.method, tc.path, nil)), tc.want)
		})
	}
}

func TestRulesAreRecompiledForNewView(t *testing.T) {
	s := &catalogpb.Service{Name: "s", PathPrefix: "/s"}
	r := httptest.NewRequest("POST", "/s/x", nil)
	rule := &catalogpb.Rule{Service: "s", Method: "POST", PathPattern: "/x", Repeatable: true}
	var rules ruleCache
	assert.Equal(t, rules.policy(configview.New(&catalogpb.Config{}), s, r), policy{})
	assert.Equal(t, rules.policy(configview.New(&catalogpb.Config{Rules: []*catalogpb.Rule{rule}}), s, r), policy{repeatable: true})
}
