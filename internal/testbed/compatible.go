package testbed

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"
)

// CompatibleCommits returns the commits in COMPATIBLE.txt in the root of the repository:
// their programs run beside the present one while a system is upgraded.
func CompatibleCommits(root string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(root, "COMPATIBLE.txt"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	var commits []string
	for line := range strings.Lines(string(text)) {
		if line = strings.TrimSpace(line); line != "" && line[0] != '#' {
			commits = append(commits, line)
		}
	}
	return commits, nil
}
