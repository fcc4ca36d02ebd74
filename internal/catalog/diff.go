package catalog

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// maxDiffLines bounds the lines of a readable difference.
const maxDiffLines = 40

// Diff returns the difference that an operator's change makes, a line each:
// "+" added, "-" removed, "~" changed with the fields that differ. Cells are
// counted, not listed.
func Diff(base, next *catalogpb.Config) []string {
	lines := describe(services, "service", base.Services, next.Services)
	lines = append(lines, describe(zones, "zone", base.Zones, next.Zones)...)
	lines = append(lines, describe(rules, "rule", base.Rules, next.Rules)...)
	if _, gone := cells.compare(base.Cells, next.Cells); len(gone) > 0 {
		lines = append(lines, fmt.Sprintf("- cells: %d", len(gone)))
	}
	return shorten(lines)
}

// shorten bounds the number of lines.
func shorten(lines []string) []string {
	if len(lines) <= maxDiffLines {
		return lines
	}
	more := fmt.Sprintf("... %d more", len(lines)-maxDiffLines)
	return append(lines[:maxDiffLines:maxDiffLines], more)
}

func describe[T proto.Message](t table[T], what string, base, next []T) []string {
	put, gone := t.compare(base, next)
	var lines []string
	for _, g := range gone {
		lines = append(lines, fmt.Sprintf("- %s %s", what, label(t.key(g))))
	}
	for _, p := range put {
		old, ok := t.get(base, t.key(p))
		if !ok {
			lines = append(lines, fmt.Sprintf("+ %s %s: %s", what, label(t.key(p)), fields(p)))
			continue
		}
		lines = append(lines, fmt.Sprintf("~ %s %s: %s", what, label(t.key(p)), changedFields(old, p)))
	}
	return lines
}

func label(key string) string { return strings.ReplaceAll(key, separator, "/") }

// fields lists the fields of m that are set.
func fields(m proto.Message) string {
	var parts []string
	r := m.ProtoReflect()
	list := r.Descriptor().Fields()
	for i := range list.Len() {
		if f := list.Get(i); r.Has(f) {
			parts = append(parts, fmt.Sprintf("%s=%s", f.Name(), text(f, r.Get(f))))
		}
	}
	return strings.Join(parts, " ")
}

// changedFields lists the fields in which base and next differ.
func changedFields(base, next proto.Message) string {
	var parts []string
	b, n := base.ProtoReflect(), next.ProtoReflect()
	list := b.Descriptor().Fields()
	for i := range list.Len() {
		f := list.Get(i)
		if !b.Get(f).Equal(n.Get(f)) {
			parts = append(parts, fmt.Sprintf("%s %s -> %s", f.Name(), text(f, b.Get(f)), text(f, n.Get(f))))
		}
	}
	return strings.Join(parts, ", ")
}

func text(f protoreflect.FieldDescriptor, v protoreflect.Value) string {
	if f.Kind() != protoreflect.EnumKind {
		return fmt.Sprintf("%v", v.Interface())
	}
	value := f.Enum().Values().ByNumber(v.Enum())
	if value == nil {
		return fmt.Sprintf("%d", v.Enum())
	}
	prefix := strings.ToUpper(snake(string(f.Enum().Name()))) + "_"
	return strings.ToLower(strings.TrimPrefix(string(value.Name()), prefix))
}

// snake turns ZoneState into Zone_State.
func snake(name string) string {
	var b strings.Builder
	for i, r := range name {
		if i > 0 && r >= 'A' && r <= 'Z' {
			b.WriteByte('_')
		}
		b.WriteRune(r)
	}
	return b.String()
}
