package settings

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"

	"balsamcourse.example/balsamcourse/internal/fault"
)

// maxFileBytes is the maximum size of a settings or key file.
const maxFileBytes = 1 << 20

// LoadControl reads and validates the settings of a control VM. An error is of
// kind fault.Settings and names file, line and key.
func LoadControl(path string) (Control, error) {
	data, err := ReadFile(path)
	if err != nil {
		return Control{}, err
	}
	return ParseControl(path, data)
}

// LoadEntry reads and validates the settings of an entry VM. An error is of
// kind fault.Settings and names file, line and key.
func LoadEntry(path string) (Entry, error) {
	data, err := ReadFile(path)
	if err != nil {
		return Entry{}, err
	}
	return ParseEntry(path, data)
}

// ParseControl decodes and validates the settings of a control VM from data.
// Errors are those of LoadControl and name file as their source.
func ParseControl(file string, data []byte) (Control, error) {
	s := DefaultControl()
	if err := decode(file, data, &s); err != nil {
		return Control{}, err
	}
	return s, checkWithLines(file, data, s)
}

// ParseEntry decodes and validates the settings of an entry VM from data.
// Errors are those of LoadEntry and name file as their source.
func ParseEntry(file string, data []byte) (Entry, error) {
	s := DefaultEntry()
	if err := decode(file, data, &s); err != nil {
		return Entry{}, err
	}
	return s, checkWithLines(file, data, s)
}

// ReadFile returns the content of a settings or key file. A file that cannot be
// read or is larger than 1 MiB is an error of kind fault.Settings.
func ReadFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fault.New(fault.Settings, "%v", err)
	}
	if info.Size() > maxFileBytes {
		return nil, fault.New(fault.Settings, "%s: file is larger than %d bytes", path, maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.New(fault.Settings, "%v", err)
	}
	return data, nil
}

func decode(file string, data []byte, into any) error {
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	err := dec.Decode(into)
	if err == nil {
		return nil
	}
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		return unknownKeysError(file, unknown, into)
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		return decodeError(file, data, bad)
	}
	return fault.New(fault.Settings, "%s: %v", file, err)
}

func unknownKeysError(file string, unknown *toml.StrictMissingError, into any) error {
	lines := make([]string, len(unknown.Errors))
	known := knownKeys(into)
	for i := range unknown.Errors {
		e := &unknown.Errors[i]
		row, _ := e.Position()
		key := strings.Join(e.Key(), ".")
		lines[i] = fmt.Sprintf("%s:%d: %s: unknown key%s", file, row, key, unitHint(key, known))
	}
	return fault.New(fault.Settings, "%s", strings.Join(lines, "\n"))
}

func decodeError(file string, data []byte, bad *toml.DecodeError) error {
	row, _ := bad.Position()
	key := strings.Join(bad.Key(), ".")
	if key == "" {
		key = indexLines(data).keyAt(row)
	}
	text := strings.TrimPrefix(bad.Error(), "toml: ")
	if key == "" {
		return fault.New(fault.Settings, "%s:%d: %s", file, row, text)
	}
	return fault.New(fault.Settings, "%s:%d: %s: %s", file, row, key, text)
}

// checkWithLines validates s and prefixes each problem with the file and the
// line of its key.
func checkWithLines(file string, data []byte, s checkable) error {
	var c checker
	s.check(&c)
	if len(c.problems) == 0 {
		return nil
	}
	index := indexLines(data)
	lines := make([]string, len(c.problems))
	for i, p := range c.problems {
		lines[i] = fmt.Sprintf("%s:%d: %s: %s", file, index.lineOf(p.key), p.key, p.message)
	}
	return fault.New(fault.Settings, "%s", strings.Join(lines, "\n"))
}
