// Package buildinfo describes the build of the running program.
package buildinfo

import "runtime/debug"

// unknown stands for what a build does not record.
const unknown = "unknown"

// shortCommit is the number of characters of the commit in Short.
const shortCommit = 10

// Info describes a build.
type Info struct {
	Version string `json:"version"`
	Commit  string `json:"commit"`
	Go      string `json:"go"`
	// Modified is set if the source differed from that of the commit.
	Modified bool `json:"modified"`
}

// Read returns the description of the running program.
func Read() Info {
	v := Info{Version: unknown, Commit: unknown}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	v.Version, v.Go = info.Main.Version, info.GoVersion
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			v.Commit = s.Value
		case "vcs.modified":
			v.Modified = s.Value == "true"
		}
	}
	return v
}

// Short returns the beginning of the commit, with a + if the source was modified.
func (i Info) Short() string {
	s := i.Commit[:min(len(i.Commit), shortCommit)]
	if i.Modified {
		s += "+"
	}
	return s
}
