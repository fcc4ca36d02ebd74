package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// controlClient opens a connection for each call, as callers of control pick a machine
// anew each time.
var controlClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// callControl makes one call of the operator or of an instance. It waits for a second, as
// they do.
func callControl(ctx context.Context, url, method string, body []byte) (int, string, error) {
	return callControlWithin(ctx, time.Second, url, method, body)
}

func callControlWithin(ctx context.Context, limit time.Duration, url, method string, body []byte) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := controlClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	return resp.StatusCode, string(answer), err
}

// resource is an entry of a desired state.
type resource map[string]any

func resourceOf(kind string, metadata, spec map[string]any) resource {
	return resource{name("entryType"): kind, "metadata": metadata, "spec": spec}
}

func routeOf(id, path, kind, service, timeout, target string) resource {
	return resourceOf("routes", map[string]any{"name": id}, map[string]any{
		"hostname": hostName, "pathPrefix": path, name("kindOfRoute"): kind, "timeout": timeout, "targetLatency": target,
		"priority": 1, "service": service, "maxAttempts": 2,
	})
}

func serviceOf(id string) resource {
	return resourceOf("services", map[string]any{"name": id}, map[string]any{
		name("statusPath"): healthPath, "maxConnections": 336, "protocol": "h1", "tls": false, "warmup": "3s", name("coldRate"): coldPerSecond,
	})
}

func limitsOf() resource {
	return resourceOf("limits", map[string]any{}, map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms",
	})
}

// stateOf returns the message of a desired state.
func stateOf(version int, resources ...resource) []byte {
	// All values can be encoded.
	text, _ := json.Marshal(map[string]any{"version": version, "resources": resources})
	return text
}

const (
	hostName   = "school.example"
	healthPath = "/health"
	// coldPerSecond is the rate of cold instances of the site mlr-gateway.
	coldPerSecond = 1.8
)
