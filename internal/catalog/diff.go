package catalog

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// maxDiffLines limits the length of a diff that is shown to an operator.
const maxDiffLines = 40

// Diff returns the differences in services, zones and rules between base and
// next, one line per item. A line begins with "+" for an added item, "-" for a
// removed one and "~" for a changed one, which is followed by the fields that
// differ. Of the cells only the number of removed ones is given.
func Diff(base, next *catalogpb.Config) []string {
	var d diffText
	addDiff(&d, services, "service", base.Services, next.Services)
	addDiff(&d, zones, "zone", base.Zones, next.Zones)
	addDiff(&d, rules, "rule", base.Rules, next.Rules)
	if _, deleted := cells.compare(base.Cells, next.Cells); len(deleted) > 0 {
		d.add(func() string { return fmt.Sprintf("- cells: %d", len(deleted)) })
	}
	return d.text()
}

// diffText collects the first maxDiffLines lines of a diff and counts the others,
// which are not formatted.
type diffText struct {
	lines   []string
	omitted int
}

func (d *diffText) add(line func() string) {
	if len(d.lines) == maxDiffLines {
		d.omitted++
		return
	}
	d.lines = append(d.lines, line())
}

// text returns the lines and, if some were left out, a line with their number.
func (d *diffText) text() []string {
	if d.omitted == 0 {
		return d.lines
	}
	return append(d.lines, fmt.Sprintf("... %d more", d.omitted))
}

// addDiff adds the differences between base and next to d.
func addDiff[T proto.Message](d *diffText, t table[T], kind string, base, next []T) {
	put, deleted := t.compare(base, next)
	for _, item := range deleted {
		d.add(func() string { return fmt.Sprintf("- %s %s", kind, displayKey(t.key(item))) })
	}
	for _, item := range put {
		d.add(func() string { return t.putLine(kind, base, item) })
	}
}

// putLine returns the diff line for an item that is added or changed.
func (t table[T]) putLine(kind string, base []T, item T) string {
	key := t.key(item)
	old, ok := t.get(base, key)
	if !ok {
		return fmt.Sprintf("+ %s %s: %s", kind, displayKey(key), formatSetFields(item))
	}
	return fmt.Sprintf("~ %s %s: %s", kind, displayKey(key), formatChangedFields(old, item))
}

func displayKey(key string) string { return strings.ReplaceAll(key, keySeparator, "/") }

// formatSetFields returns the fields of m that are set, with their values.
func formatSetFields(m proto.Message) string {
	var parts []string
	r := m.ProtoReflect()
	list := r.Descriptor().Fields()
	for i := range list.Len() {
		if f := list.Get(i); r.Has(f) {
			parts = append(parts, fmt.Sprintf("%s=%s", f.Name(), formatValue(f, r.Get(f))))
		}
	}
	return strings.Join(parts, " ")
}

// formatChangedFields returns the fields in which base and next differ, each
// with its old and new value.
func formatChangedFields(base, next proto.Message) string {
	var parts []string
	b, n := base.ProtoReflect(), next.ProtoReflect()
	list := b.Descriptor().Fields()
	for i := range list.Len() {
		f := list.Get(i)
		if !b.Get(f).Equal(n.Get(f)) {
			parts = append(parts, fmt.Sprintf("%s %s -> %s", f.Name(), formatValue(f, b.Get(f)), formatValue(f, n.Get(f))))
		}
	}
	return strings.Join(parts, ", ")
}

func formatValue(f protoreflect.FieldDescriptor, v protoreflect.Value) string {
	if f.Kind() != protoreflect.EnumKind {
		return fmt.Sprintf("%v", v.Interface())
	}
	value := f.Enum().Values().ByNumber(v.Enum())
	if value == nil {
		return fmt.Sprintf("%d", v.Enum())
	}
	prefix := strings.ToUpper(separateWords(string(f.Enum().Name()))) + "_"
	return strings.ToLower(strings.TrimPrefix(string(value.Name()), prefix))
}

// separateWords puts an underscore between the words of a name in camel case:
// ZoneState becomes Zone_State.
func separateWords(name string) string {
	var b strings.Builder
	for i, r := range name {
		if i > 0 && r >= 'A' && r <= 'Z' {
			b.WriteByte('_')
		}
		b.WriteRune(r)
	}
	return b.String()
}
