package decide

import (
	"testing"

	"pimentospread"
)

// Guards against a question that stops at a first holder without the record
// or without an answer, and against a default chosen while a live holder is silent.
func TestOtherHoldersAreAsked(t *testing.T) {
	const writer, asker = 0, 1
	for name, c := range map[string]struct {
		// without is the number of holders, best first, that have lost the record.
		without int
		silent  bool
		want    func(current, byDefault pimentospread.TargetID) pimentospread.TargetID
		dropped int
	}{
		"first has the record":     {want: func(c, _ pimentospread.TargetID) pimentospread.TargetID { return c }},
		"first has none":           {without: 1, want: func(c, _ pimentospread.TargetID) pimentospread.TargetID { return c }},
		"first is silent":          {silent: true, want: func(c, _ pimentospread.TargetID) pimentospread.TargetID { return c }},
		"none has the record":      {without: 4, want: func(_, d pimentospread.TargetID) pimentospread.TargetID { return d }},
		"silent, others have none": {without: 4, silent: true, want: func(_, _ pimentospread.TargetID) pimentospread.TargetID { return 0 }, dropped: 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLoad(8)
			l.configure(l.draining(), 2, true)
			f := l.hosts[asker]
			p := l.packet()
			choice, list := f.view.Services[1].Table.Lookup(p.ID), f.holders.rank(p.ID, askedHolders)
			for !choice.Changed || list.contains(writer) || list.contains(asker) {
				p = l.packet()
				choice, list = f.view.Services[1].Table.Lookup(p.ID), f.holders.rank(p.ID, askedHolders)
			}
			l.give(writer, p)
			for range 10 {
				l.step()
			}
			for _, i := range list.index[:c.without] {
				l.hosts[i].records.Delete(p.ID)
			}
			p.SYN = false
			var a FlowActions
			f.Packet(l.now, p, l.raw, &a)
			if len(a.Peers) != 1 || a.Peers[0].To != hostName(list.index[0]) {
				t.Errorf("asked %v first, want only %s", a.Peers, hostName(list.index[0]))
			}
			l.carry(asker, &a)
			for range 50 {
				if c.silent {
					l.inbox[list.index[0]] = nil
				}
				l.step()
			}
			var got pimentospread.TargetID
			if e := f.flows.Get(p.ID); e != nil {
				got = e.Target
			}
			if want := c.want(choice.Current, choice.Default); got != want || f.stats.Drops[DropNoAnswer] != c.dropped {
				t.Errorf("target %d, want %d; %d packets dropped, want %d", got, want, f.stats.Drops[DropNoAnswer], c.dropped)
			}
		})
	}
}
