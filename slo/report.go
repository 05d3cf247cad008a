package slo

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"pimentospread"
)

// HostReport holds the counts of one host.
type HostReport struct {
	Host     pimentospread.HostID `json:"Host"`
	At       time.Time            `json:"At"`
	Services []ServiceCounts      `json:"Services"`
	// Unknown counts the requests of unknown services or classes.
	Unknown uint64 `json:"Unknown"`
}

// ServiceCounts holds the counts of one host for a service.
type ServiceCounts struct {
	Service pimentospread.ServiceName `json:"Service"`
	Classes []ClassCounts             `json:"Classes"`
	Callers Callers                   `json:"Callers"`
}

// ClassCounts holds the counts of one host for a class in both windows.
type ClassCounts struct {
	Class     pimentospread.Class `json:"Class"`
	Objective pimentospread.Ratio `json:"Objective"`
	Short     Count               `json:"Short"`
	Long      Count               `json:"Long"`
}

// Check returns the faults of a decoded report. path is the path of the report in
// the returned faults.
func (r HostReport) Check(path string) []pimentospread.Fault {
	var faults []pimentospread.Fault
	if r.Host == "" {
		faults = append(faults, pimentospread.Faultf(path+".Host", "is empty"))
	}
	for i, s := range r.Services {
		for j, c := range s.Classes {
			classPath := fmt.Sprintf("%s.Services[%d].Classes[%d]", path, i, j)
			faults = append(faults, c.check(classPath)...)
		}
	}
	return faults
}

func (c ClassCounts) check(path string) []pimentospread.Fault {
	var faults []pimentospread.Fault
	if c.Objective <= 0 || c.Objective >= 1 {
		faults = append(faults, pimentospread.Faultf(path+".Objective", "must be between 0 and 1, is %g", float64(c.Objective)))
	}
	if c.Short.Good > c.Short.Total {
		faults = append(faults, pimentospread.Faultf(path+".Short.Good", "%d is more than the total of %d", c.Short.Good, c.Short.Total))
	}
	if c.Long.Good > c.Long.Total {
		faults = append(faults, pimentospread.Faultf(path+".Long.Good", "%d is more than the total of %d", c.Long.Good, c.Long.Total))
	}
	return faults
}

// Report is the error budget burn of all services, summed over the hosts that responded.
type Report struct {
	// At is the time of the newest host report.
	At    time.Time              `json:"At"`
	Hosts []pimentospread.HostID `json:"Hosts"`
	// Missing lists the hosts that did not respond. Their requests are not counted.
	Missing  []pimentospread.HostID `json:"Missing"`
	Services []ServiceBurn          `json:"Services"`
	// Unknown counts the requests of unknown services or classes.
	Unknown uint64 `json:"Unknown"`
}

// ServiceBurn is the burn of each class of a service and the distribution of work
// over its callers.
type ServiceBurn struct {
	Service pimentospread.ServiceName `json:"Service"`
	Classes []ClassBurn               `json:"Classes"`
	Callers CallerSummary             `json:"Callers"`
}

// ClassBurn is the burn of one class.
type ClassBurn struct {
	Class     pimentospread.Class `json:"Class"`
	Objective pimentospread.Ratio `json:"Objective"`
	Short     WindowBurn          `json:"Short"`
	Long      WindowBurn          `json:"Long"`
	// BudgetLeft is the fraction of the long window's error budget that remains. It
	// is negative if more requests failed than the objective allows.
	BudgetLeft float64 `json:"BudgetLeft"`
}

// WindowBurn is the count of requests in a window and their burn rate.
type WindowBurn struct {
	Count
	// Rate is the fraction of bad requests divided by the fraction that the
	// objective allows. At a rate of 1, the error budget of a window is used up
	// exactly at its end.
	Rate float64 `json:"Rate"`
}

// Merge combines the reports of the hosts. Hosts in queried without a report are
// listed as missing. If a host has several reports, only the newest is used. If
// hosts differ in the objective of a class, the newest report determines it.
func Merge(queried []pimentospread.HostID, reports []HostReport) Report {
	merged := Report{Hosts: []pimentospread.HostID{}, Missing: []pimentospread.HostID{}, Services: []ServiceBurn{}}
	totals := countTotals{services: map[pimentospread.ServiceName]*ServiceCounts{}}
	for _, r := range sortNewestFirst(reports) {
		if slices.Contains(merged.Hosts, r.Host) {
			continue
		}
		merged.Hosts = append(merged.Hosts, r.Host)
		merged.Unknown += r.Unknown
		if r.At.After(merged.At) {
			merged.At = r.At
		}
		for _, s := range r.Services {
			totals.add(s)
		}
	}
	slices.Sort(merged.Hosts)
	for _, h := range queried {
		if !slices.Contains(merged.Hosts, h) {
			merged.Missing = append(merged.Missing, h)
		}
	}
	slices.Sort(merged.Missing)
	for _, name := range totals.order {
		merged.Services = append(merged.Services, totals.services[name].serviceBurn())
	}
	slices.SortFunc(merged.Services, func(a, b ServiceBurn) int { return cmp.Compare(a.Service, b.Service) })
	return merged
}

func sortNewestFirst(reports []HostReport) []HostReport {
	sorted := slices.Clone(reports)
	slices.SortStableFunc(sorted, func(a, b HostReport) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Host, b.Host))
	})
	return sorted
}

// countTotals sums the counts of hosts by service name. order is the order in which
// services were added first.
type countTotals struct {
	services map[pimentospread.ServiceName]*ServiceCounts
	order    []pimentospread.ServiceName
}

func (t *countTotals) add(counts ServiceCounts) {
	total := t.services[counts.Service]
	if total == nil {
		total = &ServiceCounts{Service: counts.Service, Callers: Callers{HashLimit: counts.Callers.HashLimit}}
		t.services[counts.Service] = total
		t.order = append(t.order, counts.Service)
	}
	total.Callers = total.Callers.merge(counts.Callers)
	for _, class := range counts.Classes {
		i := slices.IndexFunc(total.Classes, func(other ClassCounts) bool { return other.Class == class.Class })
		if i < 0 {
			total.Classes = append(total.Classes, class)
			continue
		}
		total.Classes[i].Short = total.Classes[i].Short.plus(class.Short)
		total.Classes[i].Long = total.Classes[i].Long.plus(class.Long)
	}
}

// serviceBurn returns the burn rates and the caller summary of the counts.
func (c ServiceCounts) serviceBurn() ServiceBurn {
	burn := ServiceBurn{Service: c.Service, Classes: []ClassBurn{}, Callers: c.Callers.summary()}
	for _, class := range c.Classes {
		short, long := newWindowBurn(class.Short, class.Objective), newWindowBurn(class.Long, class.Objective)
		burn.Classes = append(burn.Classes, ClassBurn{
			Class: class.Class, Objective: class.Objective, Short: short, Long: long, BudgetLeft: 1 - long.Rate,
		})
	}
	return burn
}

func newWindowBurn(c Count, objective pimentospread.Ratio) WindowBurn {
	allowedBad := 1 - float64(objective)
	if c.Total == 0 || allowedBad <= 0 {
		return WindowBurn{Count: c}
	}
	return WindowBurn{Count: c, Rate: float64(c.Total-c.Good) / float64(c.Total) / allowedBad}
}

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "cannot write burn report"), "write", "")
	}
	return nil
}
