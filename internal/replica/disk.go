package replica

import (
	"github.com/juju/errors"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/consensus"
	"balsamcourse.example/balsamcourse/internal/storage"
)

// disk writes to the log in a goroutine of its own, so that a slow sync does
// not hold up heartbeats. There is one write at a time; what is proposed
// meanwhile shares the next one.
type disk struct {
	log     *storage.Log
	writes  chan consensus.Write
	results chan error
	ended   chan struct{}
	// synced holds the messages that wait for the write under way.
	synced []*clusterpb.ConsensusMessage
}

func newDisk(log *storage.Log) *disk {
	return &disk{
		log:     log,
		writes:  make(chan consensus.Write, 1),
		results: make(chan error, 1),
		ended:   make(chan struct{}),
	}
}

// run makes writes durable until close.
func (d *disk) run() {
	defer close(d.ended)
	for w := range d.writes {
		d.results <- d.write(w)
	}
}

func (d *disk) write(w consensus.Write) error {
	if w.Replace {
		return d.log.Replace(w.Record)
	}
	return d.log.Append(w.Record)
}

// begin starts a write and keeps the messages that wait for it.
func (d *disk) begin(w consensus.Write, msgs []*clusterpb.ConsensusMessage) {
	d.synced = msgs
	d.writes <- w
}

// finished returns the messages that the last write has released.
func (d *disk) finished() []*clusterpb.ConsensusMessage {
	msgs := d.synced
	d.synced = nil
	return msgs
}

// close waits for the write under way and closes the log.
func (d *disk) close() error {
	close(d.writes)
	<-d.ended
	return errors.Annotate(d.log.Close(), "close log")
}
