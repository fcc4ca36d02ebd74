package catalog

import (
	"strings"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// Upper limits of the fields of a service.
const (
	maxNameLength = 63
	maxShards     = 64
	maxSlots      = 10_000
	maxPermille   = 1000
	maxTimeoutMs  = 3_600_000
)

// Defaults for fields of a service that are zero.
const (
	defaultSlots       = 1
	defaultColdSlots   = 1
	defaultWarmAfter   = 20
	defaultQueueLimit  = 64
	defaultTimeoutMs   = 10_000
	defaultProbeCostMs = 6
)

func setDefault(field *uint32, value uint32) {
	if *field == 0 {
		*field = value
	}
}

func setDefaults(s *catalogpb.Service) {
	setDefault(&s.Slots, defaultSlots)
	setDefault(&s.ColdSlots, defaultColdSlots)
	setDefault(&s.WarmAfter, defaultWarmAfter)
	setDefault(&s.QueueLimit, defaultQueueLimit)
	setDefault(&s.TimeoutMs, defaultTimeoutMs)
	setDefault(&s.ProbeCostMs, defaultProbeCostMs)
	setDefault(&s.Shards, 1)
}

func checkName(kind, name string) *fault.Error {
	if name == "" || len(name) > maxNameLength {
		return invalid("name of %s has %d characters, expected 1 to %d", kind, len(name), maxNameLength)
	}
	for _, r := range name {
		if !isNameRune(r) {
			return invalid("name %q of %s contains %q; only letters, digits, '-', '_' and '.' are allowed", name, kind, r)
		}
	}
	return nil
}

func isNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return r == '-' || r == '_' || r == '.'
}

func checkService(s *catalogpb.Service) *fault.Error {
	if err := checkName("service", s.Name); err != nil {
		return err
	}
	switch {
	case !strings.HasPrefix(s.PathPrefix, "/"):
		return invalid("service %q: path_prefix %q must begin with /", s.Name, s.PathPrefix)
	case s.Slots > maxSlots:
		return invalid("service %q: slots is %d, expected at most %d", s.Name, s.Slots, maxSlots)
	case s.ColdSlots > s.Slots:
		return invalid("service %q: cold_slots is %d, expected at most slots (%d)", s.Name, s.ColdSlots, s.Slots)
	case s.ProbeBudgetPermille > maxPermille:
		return invalid("service %q: probe_budget_permille is %d, expected at most %d", s.Name, s.ProbeBudgetPermille, maxPermille)
	case s.RetryBudgetPermille > maxPermille:
		return invalid("service %q: retry_budget_permille is %d, expected at most %d", s.Name, s.RetryBudgetPermille, maxPermille)
	case s.TimeoutMs > maxTimeoutMs:
		return invalid("service %q: timeout_ms is %d, expected at most %d", s.Name, s.TimeoutMs, maxTimeoutMs)
	case s.Shards > maxShards:
		return invalid("service %q: shards is %d, expected at most %d", s.Name, s.Shards, maxShards)
	case s.ProbePath != "" && !strings.HasPrefix(s.ProbePath, "/"):
		return invalid("service %q: probe_path %q must begin with /", s.Name, s.ProbePath)
	}
	return nil
}

func checkRule(r *catalogpb.Rule) *fault.Error {
	if err := checkName("rule", r.Name); err != nil {
		return err
	}
	if r.Method != "*" && (r.Method == "" || strings.ToUpper(r.Method) != r.Method) {
		return invalid("rule %q: method %q must be * or in upper case", r.Name, r.Method)
	}
	return checkPattern(r.PathPattern)
}

// checkPattern validates a path pattern of httprouter: a segment may be a named
// parameter (:name), and the last one may match the rest of the path (*name).
func checkPattern(pattern string) *fault.Error {
	if !strings.HasPrefix(pattern, "/") {
		return invalid("path_pattern %q must begin with /", pattern)
	}
	segments := strings.Split(pattern[1:], "/")
	for i, s := range segments {
		marker := strings.LastIndexAny(s, ":*")
		switch {
		case marker > 0:
			return invalid("path_pattern %q: parameter within segment %q must be a segment of its own", pattern, s)
		case marker == 0 && len(s) == 1:
			return invalid("path_pattern %q has a parameter without a name", pattern)
		case strings.HasPrefix(s, "*") && i != len(segments)-1:
			return invalid("path_pattern %q: catch-all %q must be the last segment", pattern, s)
		}
	}
	return nil
}
