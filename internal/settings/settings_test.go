package settings

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/fault"
)

const (
	controlSample = "../../settings/control.sample.toml"
	entrySample   = "../../settings/entry.sample.toml"
)

func TestSampleFilesParseWithDefaults(t *testing.T) {
	control, err := LoadControl(controlSample)
	assert.NilError(t, err)
	assert.Equal(t, len(control.Members), 3)
	assert.Equal(t, control.HeartbeatMs, DefaultControl().HeartbeatMs)
	assert.Equal(t, control.Limits, DefaultControl().Limits)

	entry, err := LoadEntry(entrySample)
	assert.NilError(t, err)
	assert.Equal(t, entry.ClusterAddress, "10.0.1.21:7002")
	assert.Equal(t, entry.Claims, DefaultEntry().Claims)
	assert.Equal(t, entry.Quarantine, DefaultEntry().Quarantine)
	assert.Equal(t, entry.RenewMs, DefaultEntry().RenewMs)
}

func TestErrorsNameFileLineAndKey(t *testing.T) {
	cases := []struct {
		name, old, new string
		want           string
	}{
		{"unknown key", `zone = "jm-south-a"`, `zonee = "x"`, ": zonee: unknown key"},
		{"wrong unit", "lookup_ttl_ms = 5000", `lookup_ttl_s = 5`, ": lookup_ttl_s: unknown key; the key with its unit is lookup_ttl_ms"},
		{"wrong unit in a table", "retention_ms = 600000", "retention = 600", ": claims.retention: unknown key; the key with its unit is claims.retention_ms"},
		{"unit in the value", "drain_ms = 30000", `drain_ms = "30s"`, ": drain_ms: "},
		{"value out of range", "renew_ms = 1000", "renew_ms = 6000", ": renew_ms: 6000 must lie between 50 and 1000"},
		{"address conflict", `announce_listen = "0.0.0.0:8082"`, `announce_listen = "10.0.1.21:8080"`, ": announce_listen: \"10.0.1.21:8080\" conflicts with caller_listen"},
		{"unreachable address", `caller_address = "10.0.1.21:8080"`, `caller_address = "0.0.0.0:8080"`, ": caller_address: "},
		{"host name", `cluster_address = "10.0.1.21:7002"`, `cluster_address = "vm1:7002"`, ": cluster_address: "},
		{"bad port", `metrics_listen = "10.0.1.21:9102"`, `metrics_listen = "10.0.1.21:99999"`, ": metrics_listen: "},
		{"unknown policy", `dispatch_policy = "cell"`, `dispatch_policy = "best"`, ": dispatch_policy: "},
		{"syntax", `[quarantine]`, `[quarantine`, ": "},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			data := editedSample(t, entrySample, tc.old, tc.new)
			_, err := ParseEntry("e.toml", []byte(data))
			assert.Equal(t, fault.KindOf(err), fault.Settings)
			assert.ErrorContains(t, err, "e.toml:"+lineNumberOf(data, tc.new)+tc.want)
		})
	}
}

func TestControlRejectsInvalidMembers(t *testing.T) {
	cases := []struct {
		name, old, new string
		want           string
	}{
		{"id used twice", "id = 2\n", "id = 3\n", ": members[2].id: 3 is used twice"},
		{"own id missing", "id = 1\naddress", "id = 9\naddress", "members: must list id 1, this replica"},
		{"own address differs", `address = "10.0.1.11:7001"` + "\n" + `zone`, `address = "10.0.1.12:7001"` + "\n" + `zone`, "members[0].address: 10.0.1.12:7001 is not"},
		{"join with own id", "join = false", "join = true", "members: must not list id 1, this replica"},
		{"share above 1", "share = 0.0", "share = 1.5", "rollout.share: 1.5 must lie between 0 and 1"},
		{"negative slack", "slack = 50.0", "slack = -1.0", "rollout.slack: -1 must not be below 0"},
		{"no time to roll back", "rollback_ms = 5000", "rollback_ms = 0", "rollout.rollback_ms: 0 must lie between 100"},
		{"election too short", "election_ms = 1000", "election_ms = 300", "election_ms: 300 must lie between 1000"},
		{"no keys", `cluster_file = "/etc/balsamcourse/cluster.keys"`, "", "keys.cluster_file: is missing"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := ParseControl("c.toml", []byte(editedSample(t, controlSample, tc.old, tc.new)))
			assert.ErrorContains(t, err, tc.want)
		})
	}
}

func TestAuthDisabledRequiresLoopback(t *testing.T) {
	s, err := LoadControl(controlSample)
	assert.NilError(t, err)
	s.AuthDisabled = true
	s.Keys = ControlKeys{}
	assert.ErrorContains(t, s.Validate(), "must be a loopback address")
	s.ClusterListen, s.OperatorListen, s.MetricsListen = "127.0.0.1:1", "127.0.0.1:2", "[::1]:3"
	assert.NilError(t, s.Validate())
}

func FuzzParse(f *testing.F) {
	for _, path := range []string{controlSample, entrySample} {
		data, err := os.ReadFile(path)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Add([]byte("[[members]]\nid = -1\n[members]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := ParseControl("c.toml", data); err != nil {
			assert.Equal(t, fault.KindOf(err), fault.Settings)
		}
		if _, err := ParseEntry("e.toml", data); err != nil {
			assert.Equal(t, fault.KindOf(err), fault.Settings)
		}
	})
}

// editedSample returns the sample file at path with the first occurrence of old
// replaced.
func editedSample(t *testing.T, path, old, replacement string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(data), old), "sample file does not contain %q", old)
	return strings.Replace(string(data), old, replacement, 1)
}

// lineNumberOf returns the number of the line in data on which text starts.
func lineNumberOf(data, text string) string {
	before, _, _ := strings.Cut(data, text)
	return strconv.Itoa(strings.Count(before, "\n") + 1)
}

func TestGatewaySampleEqualsDefaults(t *testing.T) {
	got, err := LoadGateway("../../settings/gateway.sample.toml")
	assert.NilError(t, err)
	want := DefaultGateway()
	want.ID, want.Zone, want.Region = got.ID, got.Zone, got.Region
	want.CallerListen, want.CallerAddress, want.Addresses = got.CallerListen, got.CallerAddress, got.Addresses
	want.Control, want.ClusterKeysFile = got.Control, got.ClusterKeysFile
	assert.DeepEqual(t, got, want)
}

func TestGatewayErrorsNameTheKey(t *testing.T) {
	cases := []struct{ old, replacement, want string }{
		{`named_per_zone = 2`, `named_per_zone = 99`, "named_per_zone"},
		{`ratio = 0.2`, `ratio = 2.0`, "retry.ratio"},
		{`slack = 40`, `slack = -1`, "retry.slack"},
		{`stop_ms = 5700`, `stop_ms = 100`, "stop_ms"},
		{`revoke_within_ms = 0`, `revoke_within_ms = 900`, "revoke_within_ms"},
		{`cold_share = 0.8`, `cold_share = 1.8`, "cold_share"},
		{`lookup_ttl_ms = 1000`, `lookup_ttl = 1000`, "lookup_ttl"},
		{`cluster_keys_file = "/etc/balsamcourse/cluster.keys"`, ``, "cluster_keys_file"},
	}
	for _, c := range cases {
		_, err := ParseGateway("g.toml", []byte(editedSample(t, "../../settings/gateway.sample.toml", c.old, c.replacement)))
		assert.ErrorContains(t, err, c.want)
	}
}

func TestStateSampleParsesAndInvalidStateIsRejected(t *testing.T) {
	state, err := LoadState("../../settings/state.sample.toml")
	assert.NilError(t, err)
	assert.Equal(t, state.Version, uint64(1))
	assert.Equal(t, state.Routes[0].Shares[0].Pool, "booking")
	assert.Assert(t, !state.Routes[0].Public && state.Routes[1].Public)
	assert.Equal(t, *state.Organisations[0].Priority, uint32(1))
	assert.Equal(t, len(state.Organisations[0].KeyDigests[0]), 16)
	for old, replacement := range map[string]string{
		`pool = "booking", weight`:            `pool = "other", weight`,
		`kind = "safe"`:                       `kind = "sage"`,
		`max_attempts = 2`:                    `max_attempts = 0`,
		`version = 1`:                         `version = 0`,
		`priority = 2`:                        `prio = 2`,
		`rate_per_s = 300`:                    `rate_per_s = -300`,
		`["replace-with-a-long-random-text"]`: `["a", ""]`,
	} {
		_, err := ParseState("s.toml", []byte(editedSample(t, "../../settings/state.sample.toml", old, replacement)))
		assert.ErrorContains(t, err, "s.toml")
	}
}

func TestSeedsExcludeIDAndMembers(t *testing.T) {
	s := DefaultControl()
	s.Zone, s.DataDir, s.TrustNetwork = "a", "/data", true
	s.ClusterListen, s.ClusterAddress, s.OperatorListen = "10.0.0.1:7000", "10.0.0.1:7000", "10.0.0.1:7001"
	s.Seeds = []string{"10.0.0.1:7000"}
	assert.NilError(t, s.Validate())
	s.ID = 1
	assert.ErrorContains(t, s.Validate(), "seeds")
}
