package replica

import (
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/features"
)

// TestEveryReplicaKnowsWhatTheOthersSupport guards against a new leader that treats a
// member as an old build because it has never heard from it: followers exchange no
// messages, and one of them may be frozen when another becomes leader. A member that
// returns to an old build states nothing.
func TestEveryReplicaKnowsWhatTheOthersSupport(t *testing.T) {
	t.Parallel()
	transports := make([]*TwirpTransport, 4)
	replicas := startGroupWith(t, 3, func(id uint64) Options {
		transports[id] = NewTwirpTransport(id, nil)
		return Options{Transport: transports[id]}
	})
	commitAtLeader(t, testContext(t), replicas, []byte("data"))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for id, transport := range transports[1:] {
			for other := range uint64(3) {
				if stated, _ := transport.Features(other + 1); other != uint64(id) && stated != features.Supported {
					return poll.Continue("replica %d does not know the features of %d", id+1, other+1)
				}
			}
		}
		return poll.Success()
	})
	transports[1].recordBatchFeatures(&clusterpb.ConsensusBatch{From: 2})
	stated, known := transports[1].Features(2)
	assert.Assert(t, known)
	assert.Equal(t, stated, features.Set(0))
}
