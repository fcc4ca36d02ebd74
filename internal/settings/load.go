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

// maxFileBytes bounds a settings or key file.
const maxFileBytes = 1 << 20

// LoadControl reads and checks the settings of a control VM. The error is of
// kind fault.Settings and names file, line and key.
func LoadControl(path string) (Control, error) {
	data, err := ReadFile(path)
	if err != nil {
		return Control{}, err
	}
	return ParseControl(path, data)
}

// LoadEntry reads and checks the settings of an entry VM. The error is of
// kind fault.Settings and names file, line and key.
func LoadEntry(path string) (Entry, error) {
	data, err := ReadFile(path)
	if err != nil {
		return Entry{}, err
	}
	return ParseEntry(path, data)
}

// ParseControl is LoadControl for data that was read from file.
func ParseControl(file string, data []byte) (Control, error) {
	s := DefaultControl()
	if err := decode(file, data, &s); err != nil {
		return Control{}, err
	}
	return s, report(file, data, s)
}

// ParseEntry is LoadEntry for data that was read from file.
func ParseEntry(file string, data []byte) (Entry, error) {
	s := DefaultEntry()
	if err := decode(file, data, &s); err != nil {
		return Entry{}, err
	}
	return s, report(file, data, s)
}

// ReadFile returns the content of a settings or key file of at most 1 MiB. The
// error is of kind fault.Settings.
func ReadFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fault.New(fault.Settings, "%v", err)
	}
	if info.Size() > maxFileBytes {
		return nil, fault.New(fault.Settings, "%s: larger than %d bytes", path, maxFileBytes)
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
		return unknownKeys(file, unknown, into)
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		return badValue(file, data, bad)
	}
	return fault.New(fault.Settings, "%s: %v", file, err)
}

func unknownKeys(file string, unknown *toml.StrictMissingError, into any) error {
	lines := make([]string, len(unknown.Errors))
	known := knownKeys(into)
	for i := range unknown.Errors {
		e := &unknown.Errors[i]
		row, _ := e.Position()
		key := strings.Join(e.Key(), ".")
		lines[i] = fmt.Sprintf("%s:%d: %s: unknown key%s", file, row, key, suggest(key, known))
	}
	return fault.New(fault.Settings, "%s", strings.Join(lines, "\n"))
}

func badValue(file string, data []byte, bad *toml.DecodeError) error {
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

// report checks s and adds the line of each key that is at fault.
func report(file string, data []byte, s checkable) error {
	var c checker
	s.check(&c)
	if len(c.problems) == 0 {
		return nil
	}
	index := indexLines(data)
	lines := make([]string, len(c.problems))
	for i, p := range c.problems {
		lines[i] = fmt.Sprintf("%s:%d: %s: %s", file, index.lineOf(p.key), p.key, p.text)
	}
	return fault.New(fault.Settings, "%s", strings.Join(lines, "\n"))
}
