package settings

import (
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps the dotted keys of a TOML document to their line numbers.
type lineIndex struct {
	lines map[string]int
}

// indexLines finds the line of each key. Keys after a syntax error are left out.
func indexLines(data []byte) lineIndex {
	index := lineIndex{lines: make(map[string]int)}
	var p unstable.Parser
	p.Reset(data)
	table := ""
	counts := make(map[string]int)
	for p.NextExpression() {
		node := p.Expression()
		key, line := keyAndLine(&p, node)
		switch node.Kind {
		case unstable.Table:
			table = key
		case unstable.ArrayTable:
			table = indexedKey(key, counts[key])
			counts[key]++
		default:
			key = joinKey(table, key)
		}
		index.add(key, line)
		index.add(table, line)
	}
	return index
}

// add records the line of key unless one is recorded already.
func (x lineIndex) add(key string, line int) {
	if _, ok := x.lines[key]; !ok {
		x.lines[key] = line
	}
}

// lineOf returns the line of key. For a key that the document does not have, it
// returns the line of the innermost enclosing table, or 1 without one.
func (x lineIndex) lineOf(key string) int {
	for key != "" {
		if line, ok := x.lines[key]; ok {
			return line
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return 1
}

// keyAt returns the longest key that was found on the line, or "".
func (x lineIndex) keyAt(line int) string {
	best := ""
	for key, l := range x.lines {
		if l == line && len(key) > len(best) {
			best = key
		}
	}
	return best
}

// keyAndLine returns the dotted key of a node and the line where it starts.
func keyAndLine(p *unstable.Parser, node *unstable.Node) (string, int) {
	key, line := "", 1
	for it := node.Key(); it.Next(); {
		part := it.Node()
		if key == "" {
			line = p.Shape(part.Raw).Start.Line
		}
		key = joinKey(key, string(part.Data))
	}
	return key, line
}

func joinKey(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

// knownKeys returns the dotted keys of the settings struct that into points to.
func knownKeys(into any) []string {
	return structKeys(reflect.TypeOf(into).Elem(), "")
}

func structKeys(t reflect.Type, prefix string) []string {
	var keys []string
	for i := range t.NumField() {
		f := t.Field(i)
		name := f.Tag.Get("toml")
		switch {
		case name == "-":
		case f.Anonymous:
			keys = append(keys, structKeys(f.Type, prefix)...)
		case f.Type.Kind() == reflect.Struct:
			keys = append(keys, structKeys(f.Type, prefix+name+".")...)
		default:
			keys = append(keys, prefix+name)
		}
	}
	return keys
}

// unitHint returns a hint for an unknown key that differs from a known key only
// in its unit suffix, or "" for any other.
func unitHint(key string, known []string) string {
	for _, k := range known {
		if trimUnit(k) == trimUnit(key) {
			return "; the key with its unit is " + k
		}
	}
	return ""
}

func trimUnit(key string) string {
	for _, unit := range []string{"_ms", "_s", "_sec", "_seconds", "_us", "_bytes", "_kb", "_mb", "_permille", "_percent"} {
		if base, ok := strings.CutSuffix(key, unit); ok {
			return base
		}
	}
	return key
}
