package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const testLog = `
7.1 gw-1 {"level":"info","role":"gateway","id":"gw-1","event":300,"name":"config_adopted","revision":7,"time":"2026-01-01T10:00:00.500Z"}
{"level":"info","role":"gateway","id":"gw-2","event":300,"name":"config_adopted","revision":7,"time":"2026-01-01T10:00:00.501Z"}
{"level":"warn","role":"gateway","id":"gw-1","event":403,"name":"call_ended","request":"r1","pool":"p","upstream":"u2","status":0,"error":"upstream_broken: x","time":"2026-01-01T10:00:02.040Z"}
{"level":"info","role":"gateway","id":"gw-1","event":404,"name":"attempt_failed","request":"r1","upstream":"u1","error":"shed","time":"2026-01-01T10:00:02.010Z"}
{"level":"warn","role":"gateway","id":"gw-2","event":311,"name":"upstream_held","upstream":"u2","error":"refused","time":"2026-01-01T10:00:01.900Z"}
{"level":"warn","role":"gateway","id":"gw-2","event":311,"name":"upstream_held","upstream":"u9","error":"refused","time":"2026-01-01T10:00:01.900Z"}
{"level":"warn","role":"gateway","id":"gw-1","event":311,"name":"upstream_held","upstream":"u8","pool":"p","held_ms":500,"time":"2026-01-01T10:00:01.800Z"}
{"level":"warn","role":"gateway","id":"gw-1","event":311,"name":"upstream_held","upstream":"u8","pool":"other","held_ms":500,"time":"2026-01-01T10:00:01.800Z"}
{"level":"warn","role":"gateway","id":"gw-2","event":311,"name":"upstream_held","upstream":"u8","pool":"p","held_ms":500,"time":"2026-01-01T10:00:01.800Z"}
{"level":"info","role":"control","id":"1","event":200,"name":"became_leader","term":3,"time":"2026-01-01T10:00:03.000Z"}
{"level":"info","role":"control","id":"1","event":200,"name":"became_leader","term":9,"time":"2026-01-01T10:01:03.000Z"}
{"level":"warn","role":"gateway","id":"gw-1","event":403,"name":"call_ended","request":"r2","time":"2026-01-01T10:00:02.000Z"}
not a line
{"level":"warn","message":"log lines dropped","lines":3}
`

func TestTimelineHasTheLinesOfTheRequestAndRelatedStateChanges(t *testing.T) {
	lines, err := Read(strings.NewReader(testLog))
	assert.NilError(t, err)
	var got []string
	for _, l := range Timeline(lines, "r1") {
		got = append(got, l.Process+" "+l.Name)
	}
	assert.DeepEqual(t, got, []string{
		"gw-1 config_adopted", "gw-1 upstream_held", "gw-2 upstream_held", "gw-1 attempt_failed", "gw-1 call_ended", "1 became_leader",
	})
	assert.Equal(t, len(Timeline(lines, "r3")), 0)
}

func TestLineStringShowsTheFieldsOfTheEvent(t *testing.T) {
	lines, err := Read(strings.NewReader(testLog))
	assert.NilError(t, err)
	text := Timeline(lines, "r1")[4].String()
	assert.Equal(t, text, "* 10:00:02.040 gw-1                   call_ended         error=upstream_broken: x pool=p status=0 upstream=u2")
}
