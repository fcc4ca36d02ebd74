package dispatchserver

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
)

func viewOf(entries ...*catalogpb.Entry) *configview.View {
	return configview.New(&catalogpb.Config{Entries: entries})
}

// TestEntryVMThatVanishesIsATicketHolderForAMinute guards against granting the
// slots of calls that still run: an entry VM that disappears without a planned stop
// counts as a holder until lostEntryRetention has passed, one that was leaving does
// not.
func TestEntryVMThatVanishesIsATicketHolderForAMinute(t *testing.T) {
	a, b := &catalogpb.Entry{Id: "a"}, &catalogpb.Entry{Id: "b"}
	leaving := &catalogpb.Entry{Id: "c", Leaving: true}
	h := newTicketHolders()
	h.update(viewOf(a, b, leaving), 0)
	v := viewOf(a)
	h.update(v, time.Second)
	assert.DeepEqual(t, h.list(v), []string{"a", "b"})
	returned := viewOf(a, b)
	h.update(returned, 2*time.Second)
	assert.DeepEqual(t, h.list(returned), []string{"a", "b"})
	h.update(v, 3*time.Second)
	h.update(v, 3*time.Second+lostEntryRetention+1)
	assert.DeepEqual(t, h.list(v), []string{"a"})
}
