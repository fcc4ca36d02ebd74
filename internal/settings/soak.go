package settings

import (
	"slices"
	"strings"
)

// Sizes of a soak.
const (
	SoakSmall = "small"
	SoakUsual = "usual"
	SoakLarge = "large"
)

// Soak holds the settings of a soak: a randomized run of the whole system as separate
// processes with faults injected from outside.
type Soak struct {
	// Seed determines the disruptions and their times.
	Seed uint64 `toml:"seed"`
	// DurationMs is the time of the disruptions. Start and recovery come in addition.
	DurationMs Millis `toml:"duration_ms"`
	// Size is SoakSmall, SoakUsual or SoakLarge.
	Size string `toml:"size"`
	// Interface names the protocols towards callers, upstreams and operators.
	Interface string `toml:"interface"`
	// Faults lists the kinds of disruptions that are allowed; empty means all.
	Faults []string `toml:"faults"`
	// Program is the file of the program; empty means the running one. PreviousProgram
	// is that of an earlier build, to which processes are changed and back; empty means
	// none.
	Program         string `toml:"program"`
	PreviousProgram string `toml:"previous_program"`
	// KeepLogs keeps the folder with logs and data also if no promise is broken.
	KeepLogs bool `toml:"keep_logs"`
}

// DefaultSoak returns the defaults for keys that the settings file leaves out.
func DefaultSoak() Soak {
	return Soak{Seed: 1, DurationMs: 60_000, Size: SoakSmall, Interface: "own"}
}

// LoadSoak reads the settings of a soak. An error is of kind fault.Settings and names
// file, line and key. The caller validates them.
func LoadSoak(path string) (Soak, error) {
	data, err := ReadFile(path)
	if err != nil {
		return Soak{}, err
	}
	s := DefaultSoak()
	return s, decode(path, data, &s)
}

// Validate reports all invalid settings as one error of kind fault.Settings. interfaces
// and faults are the names that are known.
func (s Soak) Validate(interfaces, faults []string) error {
	return validate(knownSoak{s, interfaces, faults})
}

type knownSoak struct {
	Soak
	interfaces, faults []string
}

func (s knownSoak) check(c *checker) {
	c.between("duration_ms", int64(s.DurationMs), 1_000, 24*3_600_000)
	if sizes := []string{SoakSmall, SoakUsual, SoakLarge}; !slices.Contains(sizes, s.Size) {
		c.addf("size", "%q must be one of %s", s.Size, strings.Join(sizes, ", "))
	}
	if !slices.Contains(s.interfaces, s.Interface) {
		c.addf("interface", "%q must be one of %s", s.Interface, strings.Join(s.interfaces, ", "))
	}
	for _, f := range s.Faults {
		if !slices.Contains(s.faults, f) {
			c.addf("faults", "%q must be one of %s", f, strings.Join(s.faults, ", "))
		}
	}
}
