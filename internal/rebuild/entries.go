package rebuild

import (
	"context"
	"net/http"
	"time"

	"github.com/sourcegraph/conc/iter"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// queryTimeout is the timeout of the call to one entry VM.
const queryTimeout = 3 * time.Second

// EntryAnswers summarises the answers of the registered entry VMs.
type EntryAnswers struct {
	// Registered is the number of entry VMs asked.
	Registered int
	// Answered counts those that answered and have held a lease since their
	// start.
	Answered int
	// Newest is the newest configuration held by an entry VM that answered, or
	// nil if none did.
	Newest *catalogpb.Config
	// Missing lists the ids of the entry VMs that did not answer or have not
	// held a lease since their start.
	Missing []string
}

// QueryEntries asks the registered entry VMs which configuration they hold. If
// one holds a newer configuration than the log, it asks those registered in
// that configuration, until none holds a newer one.
func (s *LogState) QueryEntries(ctx context.Context, client *http.Client) EntryAnswers {
	known := s.Config()
	for {
		a := queryAll(ctx, client, known)
		if a.Newest.GetRevision() <= known.GetRevision() {
			return a
		}
		known = a.Newest
	}
}

// queryAll asks the entry VMs registered in known for their configurations.
// Configurations that entry VMs hold are always committed, since no others are
// sent to them.
func queryAll(ctx context.Context, client *http.Client, known *catalogpb.Config) EntryAnswers {
	entries := known.GetEntries()
	answers := iter.Map(entries, func(e **catalogpb.Entry) *clusterpb.ConfirmResponse {
		return queryEntry(ctx, client, (*e).GetClusterAddress())
	})
	a := EntryAnswers{Registered: len(entries)}
	for i, answer := range answers {
		if !answer.GetSynced() {
			a.Missing = append(a.Missing, entries[i].GetId())
			continue
		}
		a.Answered++
		if config := answer.GetConfig(); config.GetRevision() > a.Newest.GetRevision() {
			a.Newest = config
		}
	}
	return a
}

// queryEntry asks one entry VM for its configuration, whatever its revision. It
// returns nil if the call fails.
func queryEntry(ctx context.Context, client *http.Client, address string) *clusterpb.ConfirmResponse {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	entry := clusterpb.NewDistributionProtobufClient("http://"+address, client)
	resp, err := entry.Confirm(ctx, &clusterpb.ConfirmRequest{})
	if err != nil {
		return nil
	}
	return resp
}

// CheckMajority returns an error of kind NoQuorum unless a majority of the
// registered entry VMs answered: every majority includes one that holds the
// newest accepted change.
func (a EntryAnswers) CheckMajority() error {
	if 2*a.Answered > a.Registered {
		return nil
	}
	return fault.New(fault.NoQuorum, "%d of %d entry VMs answered, a majority is required; missing: %v", a.Answered, a.Registered, a.Missing)
}
