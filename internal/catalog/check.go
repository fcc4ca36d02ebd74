package catalog

import (
	"strings"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// Limits of the fields of a service.
const (
	maxNameLength = 63
	maxShards     = 64
	maxSlots      = 10_000
	maxPermille   = 1000
	maxTimeoutMs  = 3_600_000
)

// Defaults of the fields of a service that are left at zero.
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

func checkName(what, name string) *fault.Error {
	if name == "" || len(name) > maxNameLength {
		return invalid("the name of %s must have 1 to %d characters", what, maxNameLength)
	}
	for _, r := range name {
		if !nameRune(r) {
			return invalid("the name of %s holds %q", what, r)
		}
	}
	return nil
}

func nameRune(r rune) bool {
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
		return invalid("path_prefix must begin with /")
	case s.Slots > maxSlots:
		return invalid("slots must not exceed %d", maxSlots)
	case s.ColdSlots > s.Slots:
		return invalid("cold_slots must not exceed slots")
	case s.ProbeBudgetPermille > maxPermille:
		return invalid("probe_budget_permille must not exceed %d", maxPermille)
	case s.RetryBudgetPermille > maxPermille:
		return invalid("retry_budget_permille must not exceed %d", maxPermille)
	case s.TimeoutMs > maxTimeoutMs:
		return invalid("timeout_ms must not exceed %d", maxTimeoutMs)
	case s.Shards > maxShards:
		return invalid("shards must not exceed %d", maxShards)
	case s.ProbePath != "" && !strings.HasPrefix(s.ProbePath, "/"):
		return invalid("probe_path must begin with /")
	}
	return nil
}

func checkRule(r *catalogpb.Rule) *fault.Error {
	if err := checkName("rule", r.Name); err != nil {
		return err
	}
	if r.Method != "*" && (r.Method == "" || strings.ToUpper(r.Method) != r.Method) {
		return invalid("method must be * or in upper case")
	}
	return checkPattern(r.PathPattern)
}

// checkPattern accepts the path patterns of httprouter: a segment may be a
// named parameter, and the last one may match the rest of the path.
func checkPattern(pattern string) *fault.Error {
	if !strings.HasPrefix(pattern, "/") {
		return invalid("path_pattern must begin with /")
	}
	segments := strings.Split(pattern[1:], "/")
	for i, s := range segments {
		at := strings.LastIndexAny(s, ":*")
		switch {
		case at > 0:
			return invalid("path_pattern has a parameter inside a segment")
		case at == 0 && len(s) == 1:
			return invalid("path_pattern has a parameter without a name")
		case strings.HasPrefix(s, "*") && i != len(segments)-1:
			return invalid("path_pattern has a catch-all before its end")
		}
	}
	return nil
}
