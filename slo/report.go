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

// HostReport is what one host has counted.
type HostReport struct {
	Host     pimentospread.HostID `json:"Host"`
	At       time.Time            `json:"At"`
	Services []ServiceCounts      `json:"Services"`
	// Unknown counts requests of services or classes that do not exist.
	Unknown uint64 `json:"Unknown"`
}

// ServiceCounts is what one host has counted for a service.
type ServiceCounts struct {
	Service pimentospread.ServiceName `json:"Service"`
	Classes []ClassCounts             `json:"Classes"`
	Callers Callers                   `json:"Callers"`
}

// ClassCounts is what one host has counted for a class, in both windows.
type ClassCounts struct {
	Class     pimentospread.Class `json:"Class"`
	Objective pimentospread.Ratio `json:"Objective"`
	Short     Count               `json:"Short"`
	Long      Count               `json:"Long"`
}

// Check returns the faults of a report that was decoded; path is the place of the report.
func (r HostReport) Check(path string) []pimentospread.Fault {
	var faults []pimentospread.Fault
	if r.Host == "" {
		faults = append(faults, pimentospread.Faultf(path+".Host", "is empty"))
	}
	for i, s := range r.Services {
		for j, c := range s.Classes {
			at := fmt.Sprintf("%s.Services[%d].Classes[%d]", path, i, j)
			faults = append(faults, c.check(at)...)
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

// Report is the burn of all services over the hosts that answered.
type Report struct {
	// At is the time of the newest host report.
	At    time.Time              `json:"At"`
	Hosts []pimentospread.HostID `json:"Hosts"`
	// Missing are the hosts that did not answer. Their requests are not in the counts.
	Missing  []pimentospread.HostID `json:"Missing"`
	Services []ServiceBurn          `json:"Services"`
	Unknown  uint64                 `json:"Unknown"`
}

// ServiceBurn is the burn of the classes of a service and the work of its callers.
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
	// BudgetLeft is the share of the error budget of the long window that is
	// left. It is negative when more was burned than the objective allows.
	BudgetLeft float64 `json:"BudgetLeft"`
}

// WindowBurn is the count of a window and how fast it burns the error budget.
type WindowBurn struct {
	Count
	// Rate is the share of bad requests over the share that the objective
	// allows. At 1 the budget of a window is used up exactly at its end.
	Rate float64 `json:"Rate"`
}

// Merge adds up the reports of the hosts. Hosts that were asked and are not
// among the reports are named as missing; of two reports of a host the later counts.
// When hosts differ in the objective of a class, that of the newest report counts.
func Merge(asked []pimentospread.HostID, reports []HostReport) Report {
	merged := Report{Hosts: []pimentospread.HostID{}, Missing: []pimentospread.HostID{}, Services: []ServiceBurn{}}
	sums := summing{services: map[pimentospread.ServiceName]*ServiceCounts{}}
	for _, r := range newestFirst(reports) {
		if slices.Contains(merged.Hosts, r.Host) {
			continue
		}
		merged.Hosts = append(merged.Hosts, r.Host)
		merged.Unknown += r.Unknown
		if r.At.After(merged.At) {
			merged.At = r.At
		}
		for _, s := range r.Services {
			sums.add(s)
		}
	}
	slices.Sort(merged.Hosts)
	for _, h := range asked {
		if !slices.Contains(merged.Hosts, h) {
			merged.Missing = append(merged.Missing, h)
		}
	}
	slices.Sort(merged.Missing)
	for _, name := range sums.order {
		merged.Services = append(merged.Services, sums.services[name].burn())
	}
	slices.SortFunc(merged.Services, func(a, b ServiceBurn) int { return cmp.Compare(a.Service, b.Service) })
	return merged
}

func newestFirst(reports []HostReport) []HostReport {
	sorted := slices.Clone(reports)
	slices.SortStableFunc(sorted, func(a, b HostReport) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Host, b.Host))
	})
	return sorted
}

// summing adds up the counts of hosts by the name of the service.
type summing struct {
	services map[pimentospread.ServiceName]*ServiceCounts
	order    []pimentospread.ServiceName
}

func (s *summing) add(c ServiceCounts) {
	sum := s.services[c.Service]
	if sum == nil {
		sum = &ServiceCounts{Service: c.Service, Callers: Callers{HashLimit: c.Callers.HashLimit}}
		s.services[c.Service] = sum
		s.order = append(s.order, c.Service)
	}
	sum.Callers = sum.Callers.merge(c.Callers)
	for _, v := range c.Classes {
		i := slices.IndexFunc(sum.Classes, func(o ClassCounts) bool { return o.Class == v.Class })
		if i < 0 {
			sum.Classes = append(sum.Classes, v)
			continue
		}
		sum.Classes[i].Short = sum.Classes[i].Short.plus(v.Short)
		sum.Classes[i].Long = sum.Classes[i].Long.plus(v.Long)
	}
}

func (c ServiceCounts) burn() ServiceBurn {
	b := ServiceBurn{Service: c.Service, Classes: []ClassBurn{}, Callers: c.Callers.summary()}
	for _, v := range c.Classes {
		short, long := windowBurn(v.Short, v.Objective), windowBurn(v.Long, v.Objective)
		b.Classes = append(b.Classes, ClassBurn{
			Class: v.Class, Objective: v.Objective, Short: short, Long: long, BudgetLeft: 1 - long.Rate,
		})
	}
	return b
}

func windowBurn(c Count, objective pimentospread.Ratio) WindowBurn {
	allowed := 1 - float64(objective)
	if c.Total == 0 || allowed <= 0 {
		return WindowBurn{Count: c}
	}
	return WindowBurn{Count: c, Rate: float64(c.Total-c.Good) / float64(c.Total) / allowed}
}

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(r); err != nil {
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "burn report was not written"), "write", "")
	}
	return nil
}
