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

// askTimeout bounds the answer of one entry VM.
const askTimeout = 3 * time.Second

// EntryAnswers is what the entry VMs answered.
type EntryAnswers struct {
	Registered int
	Answered   int
	// Newest is the newest configuration that one of them holds; nil when none
	// answered.
	Newest *catalogpb.Config
	// Missing lists the entry VMs that did not answer.
	Missing []string
}

// QueryEntries asks the registered entry VMs which configuration they hold. When one
// holds a newer configuration, those registered there are asked in turn.
func (s *LogState) QueryEntries(ctx context.Context, client *http.Client) EntryAnswers {
	known := s.Config()
	for {
		a := askAll(ctx, client, known)
		if a.Newest.GetRevision() <= known.GetRevision() {
			return a
		}
		known = a.Newest
	}
}

// askAll asks the entry VMs registered in known for their configurations. Only
// committed ones reach entry VMs.
func askAll(ctx context.Context, client *http.Client, known *catalogpb.Config) EntryAnswers {
	entries := known.GetEntries()
	answers := iter.Map(entries, func(e **catalogpb.Entry) *clusterpb.ConfirmResponse {
		return askOne(ctx, client, (*e).GetClusterAddress())
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

// askOne asks for a configuration of any revision. It returns nil when the
// entry VM does not answer.
func askOne(ctx context.Context, client *http.Client, address string) *clusterpb.ConfirmResponse {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	entry := clusterpb.NewDistributionProtobufClient("http://"+address, client)
	resp, err := entry.Confirm(ctx, &clusterpb.ConfirmRequest{})
	if err != nil {
		return nil
	}
	return resp
}

// CheckMajority returns an error unless a majority of the entry VMs has answered: any
// majority holds every accepted change.
func (a EntryAnswers) CheckMajority() error {
	if 2*a.Answered > a.Registered {
		return nil
	}
	return fault.New(fault.NoQuorum, "%d of %d entry VMs answered; missing: %v", a.Answered, a.Registered, a.Missing)
}
