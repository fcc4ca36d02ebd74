package catalog

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// TestSameContentComparesEachField sets one field of Config at a time.
func TestSameContentComparesEachField(t *testing.T) {
	fields := (&catalogpb.Config{}).ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		t.Run(string(f.Name()), func(t *testing.T) {
			a, b, c := &catalogpb.Config{}, &catalogpb.Config{}, &catalogpb.Config{}
			setField(a, f)
			setField(b, f)
			assert.Assert(t, sameContent(a, b))
			assert.Assert(t, !sameContent(a, c))
			assert.Assert(t, !sameContent(c, a))
		})
	}
}

// setField sets a field of cfg: a list gets an item.
func setField(cfg *catalogpb.Config, f protoreflect.FieldDescriptor) {
	m := cfg.ProtoReflect()
	switch {
	case f.IsList():
		list := m.Mutable(f).List()
		list.Append(list.NewElement())
	case f.Kind() == protoreflect.MessageKind:
		m.Set(f, m.NewField(f))
	default:
		m.Set(f, protoreflect.ValueOfUint64(1))
	}
}

// BenchmarkPutUpstream measures the commit of an announcement with 191 gateways
// and 358 upstreams registered.
func BenchmarkPutUpstream(b *testing.B) {
	c, index := New(), uint64(0)
	apply := func(cmd *catalogpb.Command) {
		index++
		data, err := proto.Marshal(cmd)
		assert.NilError(b, err)
		c.Apply(index, data)
	}
	gateways := &catalogpb.RegisterEntries{}
	for i := range 191 {
		gateways.Entries = append(gateways.Entries, &catalogpb.Entry{Id: fmt.Sprintf("gateway-%03d", i), ClusterAddress: "10.0.0.1:7500", ServesStale: true})
	}
	apply(&catalogpb.Command{Kind: &catalogpb.Command_RegisterEntries{RegisterEntries: gateways}})
	put := func(i int, sequence uint64) {
		apply(&catalogpb.Command{Kind: &catalogpb.Command_PutUpstream{PutUpstream: &catalogpb.Upstream{
			Id: fmt.Sprintf("u%03d", i), StartedMs: 1, Sequence: sequence, Address: fmt.Sprintf("10.1.0.%d:80", i), Zone: "a", Pool: "p",
			Slots: 2, State: catalogpb.UpstreamState_UPSTREAM_STATE_READY,
		}}})
	}
	for i := range 358 {
		put(i, 1)
	}
	sequence := uint64(1)
	for b.Loop() {
		sequence++
		put(int(sequence%358), sequence)
	}
}
