// Package charts embeds the state charts that drive the system.
package charts

import (
	"embed"
	"io/fs"
	"strings"

	"github.com/juju/errors"

	"balsamcourse.example/balsamcourse/internal/chart"
)

//go:embed *.toml
var files embed.FS

// Load returns the chart with the given name, such as "upstream".
func Load(name string) (*chart.Chart, error) {
	c, err := chart.Load(files, name+".toml")
	return c, errors.Annotatef(err, "load chart %q", name)
}

// MustLoad is Load for charts that the code depends on. The embedded charts
// are checked by tests; a broken one panics when the process starts.
func MustLoad(name string) *chart.Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Names returns the names of the embedded charts in alphabetical order.
func Names() ([]string, error) {
	paths, err := fs.Glob(files, "*.toml")
	if err != nil {
		return nil, errors.Trace(err)
	}
	names := make([]string, len(paths))
	for i, p := range paths {
		names[i] = strings.TrimSuffix(p, ".toml")
	}
	return names, nil
}
