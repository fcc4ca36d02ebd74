package dispatcher

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/view"
)

func viewOf(entries ...*catalogpb.Entry) *view.View {
	return view.New(&catalogpb.Config{Entries: entries})
}

func TestLostEntryVMsMayHoldTickets(t *testing.T) {
	a, b := &catalogpb.Entry{Id: "a"}, &catalogpb.Entry{Id: "b"}
	leaving := &catalogpb.Entry{Id: "c", Leaving: true}
	h := newHolders()
	h.update(viewOf(a, b, leaving), 0)
	v := viewOf(a)
	h.update(v, time.Second)
	assert.DeepEqual(t, h.list(v), []string{"a", "b"})
	back := viewOf(a, b)
	h.update(back, 2*time.Second)
	assert.DeepEqual(t, h.list(back), []string{"a", "b"})
	h.update(v, 3*time.Second)
	h.update(v, 3*time.Second+lostFor+1)
	assert.DeepEqual(t, h.list(v), []string{"a"})
}
