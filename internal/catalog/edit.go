package catalog

import (
	"strings"

	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

func invalid(format string, args ...any) *fault.Error {
	return fault.New(fault.InvalidChange, format, args...)
}

// editConfig applies change to next, or returns the reason why it is invalid.
func editConfig(next *catalogpb.Config, change *catalogpb.Change) *fault.Error {
	switch kind := change.GetKind().(type) {
	case *catalogpb.Change_PutService:
		return putService(next, kind.PutService)
	case *catalogpb.Change_DeleteService:
		return deleteService(next, kind.DeleteService)
	case *catalogpb.Change_PutZone:
		return putZone(next, kind.PutZone)
	case *catalogpb.Change_DeleteZone:
		return deleteZone(next, kind.DeleteZone)
	case *catalogpb.Change_SetZoneState:
		return setZoneState(next, kind.SetZoneState)
	case *catalogpb.Change_PutRule:
		return putRule(next, kind.PutRule)
	case *catalogpb.Change_DeleteRule:
		return deleteRule(next, kind.DeleteRule)
	}
	return invalid("change has no known kind")
}

func putService(next *catalogpb.Config, given *catalogpb.Service) *fault.Error {
	s := proto.CloneOf(given)
	setDefaults(s)
	if err := checkService(s); err != nil {
		return err
	}
	for _, other := range next.Services {
		if other.Name != s.Name && samePrefix(other.PathPrefix, s.PathPrefix) {
			return invalid("service %q: path_prefix %q is already used by service %q", s.Name, s.PathPrefix, other.Name)
		}
	}
	next.Services = services.put(next.Services, s)
	next.Cells = cells.remove(next.Cells, func(c *catalogpb.Cell) bool {
		return c.Service == s.Name && c.Shard >= s.Shards
	})
	return nil
}

func samePrefix(a, b string) bool {
	return strings.TrimSuffix(a, "/") == strings.TrimSuffix(b, "/")
}

func deleteService(next *catalogpb.Config, name string) *fault.Error {
	if _, ok := services.get(next.Services, name); !ok {
		return invalid("service %q does not exist", name)
	}
	next.Services = services.remove(next.Services, func(s *catalogpb.Service) bool { return s.Name == name })
	next.Rules = rules.remove(next.Rules, func(r *catalogpb.Rule) bool { return r.Service == name })
	next.Cells = cells.remove(next.Cells, func(c *catalogpb.Cell) bool { return c.Service == name })
	return nil
}

func putRule(next *catalogpb.Config, rule *catalogpb.Rule) *fault.Error {
	if _, ok := services.get(next.Services, rule.Service); !ok {
		return invalid("rule %q: service %q does not exist", rule.Name, rule.Service)
	}
	if err := checkRule(rule); err != nil {
		return err
	}
	next.Rules = rules.put(next.Rules, rule)
	return nil
}

func deleteRule(next *catalogpb.Config, name *catalogpb.RuleName) *fault.Error {
	key := ruleKey(name.Service, name.Name)
	if _, ok := rules.get(next.Rules, key); !ok {
		return invalid("service %q has no rule %q", name.Service, name.Name)
	}
	next.Rules = rules.remove(next.Rules, func(r *catalogpb.Rule) bool { return ruleKey(r.Service, r.Name) == key })
	return nil
}
