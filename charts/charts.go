// Package charts embeds the state charts of the system's components.
package charts

import (
	"embed"
	"io/fs"
	"strings"

	"github.com/juju/errors"

	"balsamcourse.example/balsamcourse/internal/statechart"
)

//go:embed *.toml
var files embed.FS

// Load returns the embedded chart with the given name, such as "upstream". It
// returns an error if there is no such chart or it is invalid.
func Load(name string) (*statechart.Chart, error) {
	c, err := statechart.Load(files, name+".toml")
	return c, errors.Annotatef(err, "load chart %q", name)
}

// MustLoad is like Load but panics on an error. It is meant for the
// initialization of package variables: an invalid chart stops the process at its
// start. A test validates all embedded charts.
func MustLoad(name string) *statechart.Chart {
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
