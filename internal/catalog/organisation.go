package catalog

import (
	"bytes"
	"fmt"
	"math"
	"strings"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/organisation"
)

// OrganisationField identifies a field of an organisation in errors.
type OrganisationField string

// The fields that CheckOrganisations can reject.
const (
	OrganisationName      OrganisationField = "name"
	OrganisationKeys      OrganisationField = "api_keys"
	OrganisationRatePerS  OrganisationField = "rate_per_s"
	OrganisationBurstSize OrganisationField = "burst"
)

// InvalidOrganisation says which field of which organisation is invalid.
type InvalidOrganisation struct {
	// Index is the position of the organisation in the desired state, Key that of
	// the key in it if Field is OrganisationKeys.
	Index, Key int
	Field      OrganisationField
	// Reason says what is wrong. It contains no key.
	Reason string
}

// path returns the path of the field in a desired state.
func (e *InvalidOrganisation) path() string {
	if e.Field == OrganisationKeys {
		return fmt.Sprintf("organisations[%d].%s[%d]", e.Index, e.Field, e.Key)
	}
	return fmt.Sprintf("organisations[%d].%s", e.Index, e.Field)
}

// CheckOrganisations validates the organisations of a desired state. It returns nil
// if they are valid.
func CheckOrganisations(list []*catalogpb.Organisation) *InvalidOrganisation {
	names := make(map[string]bool, len(list))
	holders := make(map[string]int)
	for i, o := range list {
		if field, reason := checkOrganisationFields(o, names); reason != "" {
			return &InvalidOrganisation{Index: i, Field: field, Reason: reason}
		}
		names[o.Name] = true
		for k, d := range o.KeyDigests {
			if reason := checkKeyDigest(d); reason != "" {
				return &InvalidOrganisation{Index: i, Key: k, Field: OrganisationKeys, Reason: reason}
			}
			if holder, taken := holders[string(d)]; taken && holder != i {
				return &InvalidOrganisation{Index: i, Key: k, Field: OrganisationKeys, Reason: fmt.Sprintf("organisation %q holds the same key", list[holder].Name)}
			}
			holders[string(d)] = i
		}
	}
	return nil
}

func checkOrganisationFields(o *catalogpb.Organisation, names map[string]bool) (OrganisationField, string) {
	switch {
	case o.Name == "":
		return OrganisationName, "must not be empty"
	case strings.TrimSpace(o.Name) != o.Name || strings.ContainsFunc(o.Name, isControl):
		// The name is the value of a header.
		return OrganisationName, fmt.Sprintf("%q has a control character or begins or ends with a space", o.Name)
	case names[o.Name]:
		return OrganisationName, fmt.Sprintf("%q is listed twice", o.Name)
	case !isLimit(o.RatePerS):
		return OrganisationRatePerS, fmt.Sprintf("is %v, expected a finite number of at least 0", o.RatePerS)
	case !isLimit(o.Burst):
		return OrganisationBurstSize, fmt.Sprintf("is %v, expected a finite number of at least 0", o.Burst)
	}
	return "", ""
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// isLimit reports whether n is a finite number of at least 0.
func isLimit(n float64) bool { return n >= 0 && !math.IsInf(n, 0) }

// emptyKeyDigest is the digest of an empty API key.
var emptyKeyDigest = organisation.DigestOf("")

func checkKeyDigest(d []byte) string {
	switch {
	case len(d) != organisation.DigestBytes:
		return fmt.Sprintf("digest has %d bytes, expected %d", len(d), organisation.DigestBytes)
	case bytes.Equal(d, emptyKeyDigest[:]):
		return "must not be empty"
	}
	return ""
}

// organisationLine describes an organisation in a diff without its keys.
func organisationLine(o *catalogpb.Organisation) string {
	line := fmt.Sprintf("%s: keys=%d rate_per_s=%v burst=%v", o.Name, len(o.KeyDigests), o.RatePerS, o.Burst)
	if o.Priority != nil {
		line += fmt.Sprintf(" priority=%d", *o.Priority)
	}
	return line
}

// addOrganisationDiff adds the differences between base and next to d.
func addOrganisationDiff(d *diffText, base, next []*catalogpb.Organisation) {
	put, deleted := organisations.compare(base, next)
	for _, o := range deleted {
		d.add(func() string { return "- organisation " + o.Name })
	}
	for _, o := range put {
		sign := "+"
		if _, known := organisations.get(base, o.Name); known {
			sign = "~"
		}
		d.add(func() string { return sign + " organisation " + organisationLine(o) })
	}
}
