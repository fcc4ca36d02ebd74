package catalog

import (
	"cmp"
	"slices"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// MaxConvictions bounds the requests that are recorded as crashing upstreams. A new one
// replaces that which expires first.
const MaxConvictions = 64

// maxConvictionTextBytes bounds the texts of a conviction; longer ones are not recorded.
const maxConvictionTextBytes = 256

func convictionKey(c *catalogpb.Conviction) string {
	return c.Service + keySeparator + c.Fingerprint
}

// FindConviction returns that of the convictions of a configuration which concerns the
// requests of a service with the fingerprint, or nil if there is none.
func FindConviction(list []*catalogpb.Conviction, service, fingerprint string) *catalogpb.Conviction {
	c, _ := convictions.get(list, convictionKey(&catalogpb.Conviction{Service: service, Fingerprint: fingerprint}))
	return c
}

func updateConvictions(next *catalogpb.Config, update *catalogpb.UpdateConvictions) {
	for _, removed := range update.Remove {
		old := FindConviction(next.Convictions, removed.Service, removed.Fingerprint)
		if old != nil && old.CrashedMs <= removed.CrashedMs {
			next.Convictions = convictions.remove(next.Convictions, func(c *catalogpb.Conviction) bool { return c == old })
		}
	}
	for _, c := range update.Put {
		old := FindConviction(next.Convictions, c.Service, c.Fingerprint)
		if c.Fingerprint == "" || len(c.Service)+len(c.Fingerprint) > maxConvictionTextBytes || old != nil && old.CrashedMs >= c.CrashedMs {
			continue
		}
		next.Convictions = convictions.put(next.Convictions, c)
		if len(next.Convictions) > MaxConvictions {
			first := slices.MinFunc(next.Convictions, func(a, b *catalogpb.Conviction) int { return cmp.Compare(a.UntilMs, b.UntilMs) })
			next.Convictions = convictions.remove(next.Convictions, func(c *catalogpb.Conviction) bool { return c == first })
		}
	}
}
