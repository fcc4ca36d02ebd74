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

// maxLookupBytes limits how much of a look-up response is read.
const maxLookupBytes = 1 << 20

// Lookup asks the entry VMs at addresses, one after another, which entry VMs a
// caller in zone should use for service. It returns the first successful
// response, or the error of the last address: fault.Unreachable if it did not
// respond, else the fault kind of its response, or fault.Internal if that is
// missing or the response is invalid. Without addresses, or for an invalid one,
// the error is of kind fault.BadRequest.
func Lookup(ctx context.Context, client *http.Client, addresses []string, service, zone string) (lookup.Response, error) {
	err := error(fault.New(fault.BadRequest, "no entry VM address given for the look-up"))
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
		return lookup.Response{}, refusalError(address, resp)
	}
	var answer lookup.Response
	if err := json.Unmarshal(data, &answer); err != nil {
		return lookup.Response{}, fault.New(fault.Internal, "decode look-up response of %s: %v", address, err)
	}
	return answer, nil
}

// refusalError returns an error with the fault kind in the header of resp.
func refusalError(address string, resp *http.Response) error {
	kind := fault.Kind(resp.Header.Get(fault.HeaderKind))
	if kind == "" {
		kind = fault.Internal
	}
	return fault.New(kind, "look-up at %s answered %s instead of 200 OK", address, resp.Status)
}
