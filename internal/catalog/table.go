package catalog

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// table implements operations on slices of items that are ordered by a unique
// key. No operation modifies its arguments, so that configurations can share
// slices and items.
type table[T proto.Message] struct {
	key func(T) string
}

var (
	services = table[*catalogpb.Service]{func(s *catalogpb.Service) string { return s.Name }}
	zones    = table[*catalogpb.Zone]{func(z *catalogpb.Zone) string { return z.Name }}
	entries  = table[*catalogpb.Entry]{func(e *catalogpb.Entry) string { return e.Id }}
	rules    = table[*catalogpb.Rule]{func(r *catalogpb.Rule) string { return ruleKey(r.Service, r.Name) }}
	cells    = table[*catalogpb.Cell]{cellKey}
	routes   = table[*catalogpb.Route]{func(r *catalogpb.Route) string { return r.Name }}
	pools    = table[*catalogpb.Pool]{func(p *catalogpb.Pool) string { return p.Name }}

	upstreams = table[*catalogpb.Upstream]{func(u *catalogpb.Upstream) string { return u.Id }}

	organisations = table[*catalogpb.Organisation]{func(o *catalogpb.Organisation) string { return o.Name }}
	rollouts      = table[*catalogpb.Rollout]{func(r *catalogpb.Rollout) string { return r.Pool }}
	poolSoftware  = table[*catalogpb.PoolSoftware]{func(p *catalogpb.PoolSoftware) string { return p.Pool }}
	convictions   = table[*catalogpb.Conviction]{convictionKey}
)

// keySeparator joins the parts of a key. It cannot occur in a name.
const keySeparator = "\x00"

func ruleKey(service, name string) string { return service + keySeparator + name }

func cellKey(c *catalogpb.Cell) string {
	return fmt.Sprintf("%s%s%s%s%04d", c.Service, keySeparator, c.Zone, keySeparator, c.Shard)
}

func (t table[T]) search(items []T, key string) (int, bool) {
	return slices.BinarySearchFunc(items, key, func(item T, k string) int {
		return cmp.Compare(t.key(item), k)
	})
}

// get returns the item with the given key and whether there is one.
func (t table[T]) get(items []T, key string) (T, bool) {
	i, ok := t.search(items, key)
	if !ok {
		var zero T
		return zero, false
	}
	return items[i], true
}

// put returns items with item added, or replacing the one with the same key.
func (t table[T]) put(items []T, item T) []T {
	i, ok := t.search(items, t.key(item))
	next := slices.Clone(items)
	if ok {
		next[i] = item
		return next
	}
	return slices.Insert(next, i, item)
}

// remove returns items without those for which match returns true.
func (t table[T]) remove(items []T, match func(T) bool) []T {
	if !slices.ContainsFunc(items, match) {
		return items
	}
	return slices.DeleteFunc(slices.Clone(items), match)
}

// compare returns the items of next that are missing from base or differ from
// the item with the same key there, and the items of base whose key is missing
// from next.
func (t table[T]) compare(base, next []T) (put, deleted []T) {
	if sameSlice(base, next) {
		return nil, nil
	}
	i := 0
	for _, n := range next {
		key := t.key(n)
		for i < len(base) && t.key(base[i]) < key {
			deleted = append(deleted, base[i])
			i++
		}
		if i < len(base) && t.key(base[i]) == key {
			if !proto.Equal(base[i], n) {
				put = append(put, n)
			}
			i++
			continue
		}
		put = append(put, n)
	}
	return put, append(deleted, base[i:]...)
}

// merge returns base without the items whose keys are in deletedKeys and with
// the items of put added, or replacing those with the same key.
func (t table[T]) merge(base, put []T, deletedKeys []string) []T {
	if len(put) == 0 && len(deletedKeys) == 0 {
		return base
	}
	put = t.sorted(put)
	if !slices.IsSorted(deletedKeys) {
		deletedKeys = slices.Sorted(slices.Values(deletedKeys))
	}
	merged := make([]T, 0, len(base)+len(put))
	for _, b := range base {
		key := t.key(b)
		for len(put) > 0 && t.key(put[0]) < key {
			merged, put = append(merged, put[0]), put[1:]
		}
		for len(deletedKeys) > 0 && deletedKeys[0] < key {
			deletedKeys = deletedKeys[1:]
		}
		switch {
		case len(put) > 0 && t.key(put[0]) == key:
			merged, put = append(merged, put[0]), put[1:]
		case len(deletedKeys) > 0 && deletedKeys[0] == key:
		default:
			merged = append(merged, b)
		}
	}
	return append(merged, put...)
}

// sorted returns items in the order of their keys. Of items with the same key
// only the last one is kept.
func (t table[T]) sorted(items []T) []T {
	ordered := true
	for i := 1; i < len(items) && ordered; i++ {
		ordered = t.key(items[i-1]) < t.key(items[i])
	}
	if ordered {
		return items
	}
	type keyed struct {
		key      string
		position int
	}
	order := make([]keyed, len(items))
	for i, item := range items {
		order[i] = keyed{t.key(item), i}
	}
	slices.SortFunc(order, func(a, b keyed) int {
		return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.position, b.position))
	})
	result := make([]T, 0, len(items))
	for i, k := range order {
		if i+1 == len(order) || order[i+1].key != k.key {
			result = append(result, items[k.position])
		}
	}
	return result
}

// replace returns items in the order of their keys. Those that are equal to an item
// of base are replaced by it: later comparisons of the two slices then need not
// look into them.
func (t table[T]) replace(base, items []T) []T {
	next := slices.Clone(t.sorted(items))
	i := 0
	for j, item := range next {
		key := t.key(item)
		for i < len(base) && t.key(base[i]) < key {
			i++
		}
		if i < len(base) && t.key(base[i]) == key && proto.Equal(base[i], item) {
			next[j] = base[i]
		}
	}
	return next
}

// keysOf returns the keys of items in their order.
func keysOf[T proto.Message](t table[T], items []T) []string {
	list := make([]string, len(items))
	for i, item := range items {
		list[i] = t.key(item)
	}
	return list
}
