package cli

import (
	"os"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"
)

// TestCommandLinesInPagesAndExamplesAreValid checks that each command line in the
// documentation pages and in the help examples names an existing command with
// valid flags and arguments.
func TestCommandLinesInPagesAndExamplesAreValid(t *testing.T) {
	var lines []string
	for _, page := range []string{"../../README.md", "../../docs/OPERATIONS.md"} {
		data, err := os.ReadFile(page)
		assert.NilError(t, err)
		lines = append(lines, commandLines(string(data))...)
	}
	assert.Assert(t, len(lines) > 20)
	lines = append(lines, exampleLines(newRoot(&environment{}))...)
	for _, line := range lines {
		checkCommandLine(t, line)
	}
}

// commandLines returns the indented lines of the page that run the program. The
// prefix "go run ./cmd/" is removed, and "balsamcourse" is added before "admin".
func commandLines(page string) []string {
	var lines []string
	for line := range strings.Lines(page) {
		text := strings.TrimSpace(line)
		text = strings.TrimPrefix(text, "go run ./cmd/")
		if rest, ok := strings.CutPrefix(text, "admin "); ok {
			text = "balsamcourse admin " + rest
		}
		if strings.HasPrefix(line, "    ") && strings.HasPrefix(text, "balsamcourse ") {
			lines = append(lines, text)
		}
	}
	return lines
}

func exampleLines(cmd *cobra.Command) []string {
	var lines []string
	for line := range strings.Lines(cmd.Example) {
		if text := strings.TrimSpace(line); strings.HasPrefix(text, "balsamcourse") {
			lines = append(lines, text)
		}
	}
	for _, child := range cmd.Commands() {
		lines = append(lines, exampleLines(child)...)
	}
	return lines
}

func checkCommandLine(t *testing.T, line string) {
	t.Helper()
	words := strings.Fields(strings.ReplaceAll(line, "'", ""))[1:]
	for i, w := range words {
		if w == "#" || w == ">" || w == "|" {
			words = words[:i]
			break
		}
	}
	cmd, rest, err := newRoot(&environment{}).Find(words)
	assert.NilError(t, err, line)
	assert.Assert(t, cmd.Runnable(), "%s: not a runnable command", line)
	assert.NilError(t, cmd.ParseFlags(rest), line)
	assert.NilError(t, cmd.ValidateArgs(cmd.Flags().Args()), line)
}
