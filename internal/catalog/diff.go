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
	lines := diffLines(services, "service", base.Services, next.Services)
	lines = append(lines, diffLines(zones, "zone", base.Zones, next.Zones)...)
	lines = append(lines, diffLines(rules, "rule", base.Rules, next.Rules)...)
	if _, deleted := cells.compare(base.Cells, next.Cells); len(deleted) > 0 {
		lines = append(lines, fmt.Sprintf("- cells: %d", len(deleted)))
	}
	return truncateLines(lines)
}

// truncateLines returns the first maxDiffLines lines and, if there are more, a
// line with the number of those left out.
func truncateLines(lines []string) []string {
	if len(lines) <= maxDiffLines {
		return lines
	}
	more := fmt.Sprintf("... %d more", len(lines)-maxDiffLines)
	return append(lines[:maxDiffLines:maxDiffLines], more)
}

func diffLines[T proto.Message](t table[T], kind string, base, next []T) []string {
	put, deleted := t.compare(base, next)
	var lines []string
	for _, d := range deleted {
		lines = append(lines, fmt.Sprintf("- %s %s", kind, displayKey(t.key(d))))
	}
	for _, p := range put {
		old, ok := t.get(base, t.key(p))
		if !ok {
			lines = append(lines, fmt.Sprintf("+ %s %s: %s", kind, displayKey(t.key(p)), formatSetFields(p)))
			continue
		}
		lines = append(lines, fmt.Sprintf("~ %s %s: %s", kind, displayKey(t.key(p)), formatChangedFields(old, p)))
	}
	return lines
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
