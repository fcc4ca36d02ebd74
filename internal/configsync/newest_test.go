package configsync_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An entry VM knows that its configuration is the newest one only while control
// answers: before its first lease, and once control has fallen silent, the time for
// which that is not known must show it.
func TestAgeOfConfirmationGrowsWithoutControl(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	p := newProcess(t)
	lone, _ := c.startAt(newProcess(t), "e2", "a", 1, p.address())
	assert.Equal(t, lone.SinceNewest(), time.Duration(math.MaxInt64), "an entry VM without a lease")

	e, _ := c.start("e1", "a", c.control[0].address())
	waitUntil(t, "the configuration is known to be the newest", func() bool { return e.SinceNewest() < time.Second })
	for _, control := range c.control {
		control.reset()
	}
	waitUntil(t, "the age of the confirmation grows", func() bool { return e.SinceNewest() > 2*time.Second })
}
