package replica

import (
	"github.com/juju/errors"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/consensus"
	"balsamcourse.example/balsamcourse/internal/storage"
)

// logWriter writes to the log in a goroutine of its own, so that a slow sync
// does not delay heartbeats. Only one write is in progress at a time; entries
// proposed meanwhile share the next one.
type logWriter struct {
	log     *storage.Log
	writes  chan consensus.Write
	results chan error
	stopped chan struct{}
	// sendAfterSync holds the messages to send after the sync of the write in
	// progress.
	sendAfterSync []*clusterpb.ConsensusMessage
}

func newLogWriter(log *storage.Log) *logWriter {
	return &logWriter{
		log:     log,
		writes:  make(chan consensus.Write, 1),
		results: make(chan error, 1),
		stopped: make(chan struct{}),
	}
}

// run makes writes durable until close is called.
func (lw *logWriter) run() {
	defer close(lw.stopped)
	for w := range lw.writes {
		lw.results <- lw.write(w)
	}
}

func (lw *logWriter) write(w consensus.Write) error {
	if w.Replace {
		return lw.log.Replace(w.Record)
	}
	return lw.log.Append(w.Record)
}

// start starts a write and keeps the messages to send after its sync.
func (lw *logWriter) start(w consensus.Write, msgs []*clusterpb.ConsensusMessage) {
	lw.sendAfterSync = msgs
	lw.writes <- w
}

// takeSendAfterSync returns the messages that were waiting for the last write.
func (lw *logWriter) takeSendAfterSync() []*clusterpb.ConsensusMessage {
	msgs := lw.sendAfterSync
	lw.sendAfterSync = nil
	return msgs
}

// close waits for the write in progress and closes the log.
func (lw *logWriter) close() error {
	close(lw.writes)
	<-lw.stopped
	return errors.Annotate(lw.log.Close(), "close log")
}
