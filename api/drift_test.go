// Package api_test compares the messages between processes with those of earlier builds.
package api_test

import (
	"bytes"
	"fmt"
	"io"
	"os/exec"
	"strings"
	"testing"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/testbed"
)

// present are the schema files of this build.
var present = []protoreflect.FileDescriptor{adminpb.File_admin_v1_admin_proto, catalogpb.File_catalog_v1_catalog_proto, clusterpb.File_cluster_v1_cluster_proto}

// compileAt compiles the schema files of a commit. Without that history the test is not
// run.
func compileAt(t *testing.T, commit string) []protoreflect.FileDescriptor {
	t.Helper()
	compiler := protocompile.Compiler{Resolver: protocompile.WithStandardImports(&protocompile.SourceResolver{
		Accessor: func(path string) (io.ReadCloser, error) {
			out, err := exec.Command("git", "show", commit+":api/"+path).Output()
			if err != nil {
				return nil, fmt.Errorf("%s at %s: %w", path, commit, err)
			}
			return io.NopCloser(bytes.NewReader(out)), nil
		},
	})}
	if out, err := exec.Command("git", "cat-file", "-e", commit).CombinedOutput(); err != nil {
		t.Skipf("NOT RUN: commit %s is not in the history here: %s", commit, out)
	}
	var files []protoreflect.FileDescriptor
	for _, f := range present {
		compiled, err := compiler.Compile(t.Context(), f.Path())
		assert.NilError(t, err)
		files = append(files, compiled[0])
	}
	return files
}

// TestFieldsKeepTheirMeaning guards against a field number, an enum number or a call that
// means something else to a process of an earlier build. Fields may be added, and removed
// if their number stays reserved.
func TestFieldsKeepTheirMeaning(t *testing.T) {
	commits, err := testbed.CompatibleCommits("..")
	assert.NilError(t, err)
	for _, commit := range commits {
		t.Run(commit, func(t *testing.T) {
			for i, old := range compileAt(t, commit) {
				for _, difference := range compareFiles(old, present[i]) {
					t.Error(difference)
				}
			}
		})
	}
}

// TestDriftIsFound checks that the comparison finds what it looks for.
func TestDriftIsFound(t *testing.T) {
	const before = `syntax = "proto3"; package p; enum E { A = 0; B = 1; } message M { string a = 1; E e = 2; repeated int32 r = 3; message N { bool x = 1; } }
service S { rpc C(M) returns (M); }`
	for after, want := range map[string]string{
		strings.Replace(before, "string a = 1", "bytes a = 1", 1):                "p.M.a",
		strings.Replace(before, "string a = 1", "string b = 1", 1):               "p.M.a",
		strings.Replace(before, "string a = 1;", "", 1):                          "p.M.a",
		strings.Replace(before, "string a = 1;", "reserved 1;", 1):               "",
		strings.Replace(before, "repeated int32 r", "int32 r", 1):                "p.M.r",
		strings.Replace(before, "bool x", "int32 x", 1):                          "p.M.N.x",
		strings.Replace(before, "B = 1", "C = 1", 1):                             "p.B",
		strings.Replace(before, "returns (M)", "returns (M.N)", 1):               "p.S.C",
		strings.Replace(before, "rpc C(M) returns (M);", "", 1):                  "p.S.C",
		strings.Replace(before, "string a = 1;", "string a = 1; bool z = 9;", 1): "",
	} {
		got := compareFiles(compileText(t, before), compileText(t, after))
		if want == "" {
			assert.Equal(t, len(got), 0, "%s: %v", after, got)
			continue
		}
		assert.Equal(t, len(got), 1, "%s: %v", after, got)
		assert.Assert(t, strings.Contains(got[0], want), "%s: %v", after, got)
	}
}

func compileText(t *testing.T, text string) protoreflect.FileDescriptor {
	t.Helper()
	compiler := protocompile.Compiler{Resolver: &protocompile.SourceResolver{Accessor: protocompile.SourceAccessorFromMap(map[string]string{"p.proto": text})}}
	files, err := compiler.Compile(t.Context(), "p.proto")
	assert.NilError(t, err)
	return files[0]
}

// compareFiles returns what means something else in the second file.
func compareFiles(old, now protoreflect.FileDescriptor) []string {
	out := compareMessages(old.Messages(), now.Messages())
	out = append(out, compareEnums(old.Enums(), now.Enums())...)
	for i := range old.Services().Len() {
		s := old.Services().Get(i)
		for j := range s.Methods().Len() {
			m := s.Methods().Get(j)
			var got protoreflect.MethodDescriptor
			if service := now.Services().ByName(s.Name()); service != nil {
				got = service.Methods().ByName(m.Name())
			}
			if got == nil || got.Input().FullName() != m.Input().FullName() || got.Output().FullName() != m.Output().FullName() {
				out = append(out, fmt.Sprintf("call %s has gone or has other messages", m.FullName()))
			}
		}
	}
	return out
}

func compareMessages(old, now protoreflect.MessageDescriptors) []string {
	var out []string
	for i := range old.Len() {
		m := old.Get(i)
		got := now.ByName(m.Name())
		if got == nil {
			out = append(out, fmt.Sprintf("message %s has gone", m.FullName()))
			continue
		}
		for j := range m.Fields().Len() {
			f := m.Fields().Get(j)
			switch now := got.Fields().ByNumber(f.Number()); {
			case now == nil && !got.ReservedRanges().Has(f.Number()):
				out = append(out, fmt.Sprintf("field %s has gone, and its number %d is not reserved", f.FullName(), f.Number()))
			case now != nil && meaning(f) != meaning(now):
				out = append(out, fmt.Sprintf("field %s: number %d was %s, is %s", f.FullName(), f.Number(), meaning(f), meaning(now)))
			}
		}
		out = append(out, compareMessages(m.Messages(), got.Messages())...)
		out = append(out, compareEnums(m.Enums(), got.Enums())...)
	}
	return out
}

func compareEnums(old, now protoreflect.EnumDescriptors) []string {
	var out []string
	for i := range old.Len() {
		e := old.Get(i)
		got := now.ByName(e.Name())
		if got == nil {
			out = append(out, fmt.Sprintf("enum %s has gone", e.FullName()))
			continue
		}
		for j := range e.Values().Len() {
			v := e.Values().Get(j)
			now := got.Values().ByNumber(v.Number())
			if now == nil && !got.ReservedRanges().Has(v.Number()) || now != nil && now.Name() != v.Name() {
				out = append(out, fmt.Sprintf("value %s has gone, or its number %d is that of another", v.FullName(), v.Number()))
			}
		}
	}
	return out
}

// meaning describes what a field holds.
func meaning(f protoreflect.FieldDescriptor) string {
	s := fmt.Sprintf("%s %s %s", f.Cardinality(), f.Kind(), f.Name())
	if m := f.Message(); m != nil && !f.IsMap() {
		s += " of " + string(m.FullName())
	}
	if e := f.Enum(); e != nil {
		s += " of " + string(e.FullName())
	}
	return s
}
