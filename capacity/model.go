package capacity

import (
	"pimentospread"
)

// Model holds the data from which the figures of the capacity page are calculated.
type Model struct {
	Size        Size
	Limits      Limits
	Design      Design
	Assumptions Assumptions
	Cell        Cell
	slopes      Slopes
	// missing lists the slopes that the calculation requires and that are not measured.
	missing []pimentospread.Fault
}

// NewModel returns the model of a size. It returns an error if a required slope is
// not measured.
func NewModel(size Size, slopes Slopes) (*Model, error) {
	m := &Model{Size: size, Limits: StatedLimits(), Design: CurrentDesign(), Assumptions: DefaultAssumptions(), slopes: slopes}
	m.Cell = size.Cell(m.Design.CellHosts)
	m.Roles()
	m.Events()
	m.ChangeSteps()
	m.PlatformCalls()
	m.ScalingLimits()
	if len(m.missing) > 0 {
		return nil, pimentospread.At(pimentospread.ErrInvalid.New("model is incomplete: %s", m.missing[0]), "model", "")
	}
	return m, nil
}

// valueAt returns the median of a metric at a size. A metric that is not measured
// is added to missing.
func (m *Model) valueAt(name Benchmark, unit Metric, size float64) float64 {
	s, ok := m.slopes.find(name, unit)
	if !ok {
		m.missing = append(m.missing, pimentospread.Faultf(string(name), "%q is not measured", unit))
		return 0
	}
	return s.At(size)
}

// increasePerUnit returns the average increase of a metric per unit of size.
func (m *Model) increasePerUnit(name Benchmark, unit Metric) float64 {
	s, ok := m.slopes.find(name, unit)
	if !ok {
		m.missing = append(m.missing, pimentospread.Faultf(string(name), "%q is not measured", unit))
		return 0
	}
	return s.PerUnit()
}

// cpuShare converts nanoseconds of CPU time per second to a share of a core.
func cpuShare(nanoseconds float64) pimentospread.Ratio { return pimentospread.Ratio(nanoseconds / 1e9) }

// peers returns the number of other hosts in a cell.
func (m *Model) peers() float64 { return float64(m.Cell.Hosts - 1) }

// recordsPerHost returns the number of records that one host holds after a drain of
// RecordLifetime. A record is not deleted when its flow ends.
func (m *Model) recordsPerHost() float64 {
	recordsPerSecond := float64(m.Cell.NewFlows) * float64(m.Design.DrainedShare) * float64(m.Design.HoldersPerRecord)
	return recordsPerSecond * m.Design.RecordLifetime.Seconds() / float64(m.Cell.Hosts)
}

// targetsPerFailureDomain returns the number of targets of the cell in one failure domain.
func (m *Model) targetsPerFailureDomain() float64 {
	return m.Cell.Targets / float64(m.Cell.FailureDomains)
}

// targetsPerPool returns the number of targets of a pool if each address has its own pool.
func (m *Model) targetsPerPool() float64 { return m.Cell.Targets / m.Cell.Addresses }
