package proptest

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	root       = "../.."
	proofsPath = root + "/docs/PROOFS.md"
	// propertyCount is the number of properties for which the page must have a
	// numbered row.
	propertyCount = 9
)

// testCommand matches a go test command and captures its package and pattern.
var testCommand = regexp.MustCompile("`go test (\\./[a-z/]+)(?: -run '?([^'`]+)'?)?`")

// TestCommandsInProofsPageMatchTests guards against rows of the proofs page whose
// tests were renamed or removed, and against missing rows.
func TestCommandsInProofsPageMatchTests(t *testing.T) {
	page, err := os.ReadFile(proofsPath)
	assert.NilError(t, err)
	rows := 0
	for _, line := range strings.Split(string(page), "\n") {
		matches := testCommand.FindAllStringSubmatch(line, -1)
		if !strings.HasPrefix(line, "| ") || len(matches) == 0 {
			continue
		}
		if strings.HasPrefix(line, "| ") && line[2] >= '1' && line[2] <= '9' {
			rows++
		}
		for _, c := range matches {
			checkCommand(t, c[1], strings.ReplaceAll(c[2], "\\|", "|"))
		}
	}
	assert.Equal(t, rows, propertyCount)
}

// checkCommand checks that the pattern matches a test of the package in dir.
func checkCommand(t *testing.T, dir, pattern string) {
	t.Helper()
	if pattern == "" {
		pattern = "."
	}
	want, err := regexp.Compile(pattern)
	assert.NilError(t, err)
	files, err := filepath.Glob(filepath.Join(root, dir, "*_test.go"))
	assert.NilError(t, err)
	for _, f := range files {
		source, err := os.ReadFile(f)
		assert.NilError(t, err)
		for _, m := range testFunc.FindAllStringSubmatch(string(source), -1) {
			if want.MatchString(m[1]) {
				return
			}
		}
	}
	t.Errorf("no test in %s matches pattern %q", dir, pattern)
}

// testFunc matches the declaration of a test and captures its name.
var testFunc = regexp.MustCompile(`(?m)^func (Test\w+)\(`)
