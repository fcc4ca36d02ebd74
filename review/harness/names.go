package main

import (
	_ "embed"
	"strings"
)

// The names and formats of the users' platform are in data files.
var (
	//go:embed names.txt
	namesText string
	// settingsFormat is the settings file of a process.
	//go:embed settings.txt
	settingsFormat string
	// beatFormat is the body of a status report.
	//go:embed beat.txt
	beatFormat string

	names = parseNames(namesText)
)

func parseNames(text string) map[string]string {
	parsed := map[string]string{}
	for line := range strings.Lines(text) {
		if key, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			parsed[key] = value
		}
	}
	return parsed
}

// name returns the name of the platform for the key.
func name(key string) string { return names[key] }
