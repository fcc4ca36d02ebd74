package proof

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
	proofsPage = root + "/docs/PROOFS.md"
	// properties is the number of promises that the page must have a row for.
	properties = 9
)

// commands finds the test commands of a row: package and pattern.
var commands = regexp.MustCompile("`go test (\\./[a-z/]+)(?: -run '?([^'`]+)'?)?`")

// TestEachProofExists checks that the page has a row for each promise, and that
// each command of a row names tests that exist.
func TestEachProofExists(t *testing.T) {
	page, err := os.ReadFile(proofsPage)
	assert.NilError(t, err)
	rows := 0
	for _, line := range strings.Split(string(page), "\n") {
		found := commands.FindAllStringSubmatch(line, -1)
		if !strings.HasPrefix(line, "| ") || len(found) == 0 {
			continue
		}
		if strings.HasPrefix(line, "| ") && line[2] >= '1' && line[2] <= '9' {
			rows++
		}
		for _, c := range found {
			checkCommand(t, c[1], strings.ReplaceAll(c[2], "\\|", "|"))
		}
	}
	assert.Equal(t, rows, properties)
}

// checkCommand checks that the pattern matches a test of the package.
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
		for _, m := range testFuncs.FindAllStringSubmatch(string(source), -1) {
			if want.MatchString(m[1]) {
				return
			}
		}
	}
	t.Errorf("no test of %s matches %q", dir, pattern)
}

// testFuncs finds the tests of a file.
var testFuncs = regexp.MustCompile(`(?m)^func (Test\w+)\(`)
