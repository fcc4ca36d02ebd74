package replica

import (
	"context"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/features"
)

// Server receives messages from other replicas by Twirp.
type Server struct {
	receiver  Receiver
	transport *TwirpTransport
}

var _ clusterpb.Consensus = (*Server)(nil)

// NewServer returns the Twirp service that delivers messages to r. Replies that
// r sends by t within responseWait travel in the response.
func NewServer(r Receiver, t *TwirpTransport) *Server {
	return &Server{receiver: r, transport: t}
}

// Send implements clusterpb.Consensus.
func (s *Server) Send(ctx context.Context, batch *clusterpb.ConsensusBatch) (*clusterpb.ConsensusAck, error) {
	msgs, err := messagesOf(batch)
	if err != nil {
		return nil, fault.ToTwirp(fault.New(fault.BadRequest, "%v", err))
	}
	s.transport.recordBatchFeatures(batch)
	if !containsRequest(msgs, s.transport.id) {
		s.receiver.Deliver(batch.GetFrom(), msgs)
		return newAck(nil), nil
	}
	q := s.transport.queue(batch.GetFrom())
	q.beginResponse()
	s.receiver.Deliver(batch.GetFrom(), msgs)
	return newAck(q.awaitResponse(ctx)), nil
}

func newAck(msgs []*clusterpb.ConsensusMessage) *clusterpb.ConsensusAck {
	return &clusterpb.ConsensusAck{Messages: msgs, AcceptsPacked: true, Features: uint64(features.Supported)}
}

// containsRequest reports whether one of the messages is a request that the replica
// with id will reply to. It does not reply to requests for the replica that had its
// address before, for which the sender makes calls of their own.
func containsRequest(msgs []*clusterpb.ConsensusMessage, id uint64) bool {
	for _, m := range msgs {
		if m.GetTo() != id {
			continue
		}
		switch m.GetKind() {
		case clusterpb.MessageKind_MESSAGE_KIND_PRE_VOTE,
			clusterpb.MessageKind_MESSAGE_KIND_VOTE,
			clusterpb.MessageKind_MESSAGE_KIND_APPEND,
			clusterpb.MessageKind_MESSAGE_KIND_SNAPSHOT:
			return true
		}
	}
	return false
}
