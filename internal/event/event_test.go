package event

import (
	"bytes"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"testing"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

func TestEventsPageMatchesCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), Page(), "run: go run ./cmd/balsamcourse docs events > docs/EVENTS.md")
}

func TestCatalogueIsCompleteAndOrdered(t *testing.T) {
	events := Catalogue()
	assert.Equal(t, len(events), declaredEvents(t))
	names := make(map[string]bool)
	for i, e := range events {
		assert.Assert(t, e.Name != "" && e.Text != "", "event %d has no name or text", e.Number)
		assert.Assert(t, !names[e.Name], "event name %s is used twice", e.Name)
		names[e.Name] = true
		if i > 0 {
			assert.Assert(t, e.Number > events[i-1].Number, "event %d is out of order", e.Number)
		}
		if e.Level >= zerolog.ErrorLevel {
			assert.Assert(t, e.Action != "", "%s has level error but no action", e.Name)
		}
	}
}

func TestLogWritesEventNumberAndFields(t *testing.T) {
	var out bytes.Buffer
	log := NewLogger(&out, zerolog.InfoLevel, "entry", "e1")
	log.Log(WrongKey).Str("remote", "r").Uint64("n", 7).Err(errors.New("x")).Send()
	var line map[string]any
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	assert.Equal(t, line["event"], float64(WrongKey.Number))
	assert.Equal(t, line["name"], "wrong_key")
	assert.Equal(t, line["level"], "warn")
	assert.Equal(t, line["role"], "entry")
	assert.Equal(t, line["remote"], "r")
	assert.Equal(t, line["n"], float64(7))
	assert.Equal(t, line["error"], "x")

	out.Reset()
	NewLogger(&out, zerolog.ErrorLevel, "entry", "e1").Log(WrongKey).Send()
	assert.Equal(t, out.Len(), 0)
	Logger{}.Log(WrongKey).Send()
}

// declaredEvents returns the number of events declared in catalogue.go.
func declaredEvents(t *testing.T) int {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "catalogue.go", nil, 0)
	assert.NilError(t, err)
	n := 0
	for _, decl := range file.Decls {
		g, ok := decl.(*ast.GenDecl)
		if ok && g.Tok == token.VAR {
			n += len(g.Specs)
		}
	}
	return n
}
