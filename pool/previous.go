package pool

import "slices"

// WithPrevious returns the table with the old table's choices for new flows as
// Previous. A host that goes from one release to a later one and skips those
// between sends new flows by the release that it has activated, until every
// live host has the later one.
func (t *Table) WithPrevious(old *Table) *Table {
	next := *t
	next.choices = slices.Clone(t.choices)
	if old == nil || len(old.choices) > len(next.choices) {
		// A bucket of the smaller table covers several of the old one.
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
