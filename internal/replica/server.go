package replica

import (
	"context"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// Server receives messages by Twirp.
type Server struct {
	receiver  Receiver
	transport *TwirpTransport
}

var _ clusterpb.Consensus = (*Server)(nil)

// NewServer returns the Twirp service that hands messages to r. Answers that r
// gives to t at once travel back in the response.
func NewServer(r Receiver, t *TwirpTransport) *Server {
	return &Server{receiver: r, transport: t}
}

// Send implements clusterpb.Consensus.
func (s *Server) Send(ctx context.Context, batch *clusterpb.ConsensusBatch) (*clusterpb.ConsensusAck, error) {
	if !expectsAnswer(batch.GetMessages()) {
		s.receiver.Deliver(batch.GetFrom(), batch.GetMessages())
		return &clusterpb.ConsensusAck{}, nil
	}
	p := s.transport.peer(batch.GetFrom())
	p.expect()
	s.receiver.Deliver(batch.GetFrom(), batch.GetMessages())
	return &clusterpb.ConsensusAck{Messages: p.await(ctx)}, nil
}

// expectsAnswer reports whether one of the messages is a request.
func expectsAnswer(msgs []*clusterpb.ConsensusMessage) bool {
	for _, m := range msgs {
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
