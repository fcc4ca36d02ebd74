package main

import (
	_ "embed" // for the messages
	"encoding/json"
)

// Formats of what the platform and the stand-ins send.
var (
	//go:embed wire/settings.conf
	settingsFormat string
	//go:embed wire/gateway.conf
	gatewayListenFormat string
	//go:embed wire/control.conf
	controlListenFormat string
	//go:embed wire/heartbeat.json
	heartbeatFormat string
	// proofState is the desired state of the case planned-stop.
	//go:embed wire/proofs.json
	proofState string
	//go:embed wire/names.json
	namesText []byte
)

// names holds names of headers, paths and settings by what they stand for.
var names = readNames()

func readNames() map[string]string {
	var m map[string]string
	if err := json.Unmarshal(namesText, &m); err != nil {
		panic(err)
	}
	return m
}
