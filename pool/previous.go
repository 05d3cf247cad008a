package pool

import "slices"

// WithPrevious returns a copy of the table with the old table's targets of new flows
// as Previous. A host that skips releases uses the old table's targets, from the
// release that it has activated, until every live host has the new release.
func (t *Table) WithPrevious(old *Table) *Table {
	next := *t
	next.choices = slices.Clone(t.choices)
	if old == nil || len(old.choices) > len(next.choices) {
		// A bucket of the smaller new table corresponds to several buckets of the old one.
		return &next
	}
	mask := len(old.choices) - 1
	for i := range next.choices {
		c := old.choices[i&mask].Current
		if _, ok := t.targets[c]; ok {
			next.choices[i].Previous = c
		}
	}
	return &next
}
