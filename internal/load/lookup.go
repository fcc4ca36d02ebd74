package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/lookup"
)

// maxLookupBytes bounds the answer to a look-up.
const maxLookupBytes = 1 << 20

// Lookup asks the entry VMs at addresses in turn which entry VMs a caller in
// zone should use for service, and returns the first answer. The error is of
// kind fault.Unreachable when none of them answers.
func Lookup(ctx context.Context, client *http.Client, addresses []string, service, zone string) (lookup.Response, error) {
	err := error(fault.New(fault.BadRequest, "no address of an entry VM"))
	for _, address := range addresses {
		var answer lookup.Response
		if answer, err = lookupAt(ctx, client, address, service, zone); err == nil {
			return answer, nil
		}
	}
	return lookup.Response{}, err
}

func lookupAt(ctx context.Context, client *http.Client, address, service, zone string) (lookup.Response, error) {
	query := url.Values{"service": {service}}
	if zone != "" {
		query.Set("zone", zone)
	}
	target := url.URL{Scheme: "http", Host: address, Path: "/v1/entries", RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return lookup.Response{}, fault.New(fault.BadRequest, "%v", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return lookup.Response{}, fault.New(fault.Unreachable, "%v", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxLookupBytes))
	if err != nil {
		return lookup.Response{}, fault.New(fault.Unreachable, "%v", err)
	}
	if resp.StatusCode != http.StatusOK {
		return lookup.Response{}, refusal(resp)
	}
	var answer lookup.Response
	if err := json.Unmarshal(data, &answer); err != nil {
		return lookup.Response{}, fault.New(fault.Internal, "look-up answer of %s: %v", address, err)
	}
	return answer, nil
}

// refusal returns the kind that a refused look-up carries.
func refusal(resp *http.Response) error {
	kind := fault.Kind(resp.Header.Get(fault.HeaderKind))
	if kind == "" {
		kind = fault.Internal
	}
	return fault.New(kind, "look-up answered %s", resp.Status)
}
