package fault

import (
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"
	"gotest.tools/v3/assert"
)

func TestErrorsPageMatchesKinds(t *testing.T) {
	page, err := os.ReadFile("../../docs/ERRORS.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), Page(), "run: go run ./cmd/balsamcourse docs errors > docs/ERRORS.md")
}

func TestEveryDeclaredKindHasAResponse(t *testing.T) {
	declared := declaredKinds(t)
	assert.Equal(t, len(declared), len(responses))
	for _, k := range declared {
		_, ok := responses[k]
		assert.Assert(t, ok, "%s", k)
	}
}

func TestResponsesAreValid(t *testing.T) {
	for _, k := range Kinds() {
		resp := ResponseFor(k)
		assert.Assert(t, resp.Status >= 200 && resp.Status < 600, "%s", k)
		assert.Assert(t, twirp.IsValidErrorCode(resp.Code), "%s", k)
		assert.Assert(t, resp.Run == NotRun || resp.Run == Ran || resp.Run == RunUnknown, "%s", k)
		assert.Assert(t, resp.ExitCode > ExitOK && resp.ExitCode <= ExitSettings, "%s", k)
		assert.Assert(t, resp.Text != "", "%s", k)
		if resp.Status == http.StatusServiceUnavailable {
			assert.Assert(t, resp.RetryAfter > 0, "%s has status 503 but no RetryAfter", k)
		}
	}
}

func TestTwirpRoundTripKeepsKindDetailAndRetryAfter(t *testing.T) {
	for _, k := range Kinds() {
		sent := NewRetryable(k, 1500*time.Millisecond, "about %s", "it")
		got := FromTwirp(ToTwirp(errors.Trace(sent)), Internal)
		assert.Equal(t, got.Kind, k)
		assert.Equal(t, got.Error(), sent.Error())
		assert.Equal(t, got.RetryAfter, 1500*time.Millisecond)
	}
	assert.Equal(t, FromTwirp(errors.New("refused"), NoQuorum).Kind, NoQuorum)
}

func TestKindOfDefaultsToInternal(t *testing.T) {
	assert.Equal(t, KindOf(nil), Kind(""))
	assert.Equal(t, KindOf(errors.New("plain")), Internal)
	assert.Equal(t, KindOf(errors.Annotate(New(Shed, "x"), "y")), Shed)
	assert.Equal(t, ResponseFor("no_such_kind"), ResponseFor(Internal))
}

// declaredKinds returns the constants of type Kind declared in fault.go.
func declaredKinds(t *testing.T) []Kind {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "fault.go", nil, 0)
	assert.NilError(t, err)
	var kinds []Kind
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) == 0 {
			return true
		}
		if id, ok := spec.Type.(*ast.Ident); ok && id.Name == "Kind" {
			text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			assert.NilError(t, err)
			kinds = append(kinds, Kind(text))
		}
		return true
	})
	return kinds
}

func TestLongDetailIsCut(t *testing.T) {
	long := strings.Repeat("\u00e9", maxDetailBytes)
	for _, e := range []*Error{New(UpstreamBroken, "said %q", long), NewRetryable(Shed, time.Second, "said %q", long)} {
		assert.Assert(t, len(e.Detail) <= maxDetailBytes+len("..."), "%d bytes", len(e.Detail))
		assert.Assert(t, utf8.ValidString(e.Detail))
	}
}
