package capacity

import (
	"pimentospread"
)

// Model is everything that the figures of the page are worked out from.
type Model struct {
	Size        Size
	Limits      Limits
	Design      Design
	Assumptions Assumptions
	Cell        Cell
	slopes      Slopes
	// missing are the slopes that were asked for and are not measured.
	missing []pimentospread.Fault
}

// NewModel returns the model of a size. It fails when a slope is not measured.
func NewModel(size Size, slopes Slopes) (*Model, error) {
	m := &Model{Size: size, Limits: StatedLimits(), Design: CurrentDesign(), Assumptions: DefaultAssumptions(), slopes: slopes}
	m.Cell = size.Cell(m.Design.CellHosts)
	m.Roles()
	m.Events()
	m.ChangeSteps()
	m.PlatformCalls()
	m.ScalingLimits()
	if len(m.missing) > 0 {
		return nil, pimentospread.At(pimentospread.ErrInvalid.New("model is not complete: %s", m.missing[0]), "model", "")
	}
	return m, nil
}

// valueAt returns the median of a metric valueAt a size.
func (m *Model) valueAt(name Benchmark, unit Metric, size float64) float64 {
	s, ok := m.slopes.find(name, unit)
	if !ok {
		m.missing = append(m.missing, pimentospread.Faultf(string(name), "%q is not measured", unit))
		return 0
	}
	return s.At(size)
}

// increasePerUnit returns how much a metric rises for one more unit of size.
func (m *Model) increasePerUnit(name Benchmark, unit Metric) float64 {
	s, ok := m.slopes.find(name, unit)
	if !ok {
		m.missing = append(m.missing, pimentospread.Faultf(string(name), "%q is not measured", unit))
		return 0
	}
	return s.PerUnit()
}

// cpuShare turns nanoseconds of processor time in a second into a share of a cpuShare.
func cpuShare(nanoseconds float64) pimentospread.Ratio { return pimentospread.Ratio(nanoseconds / 1e9) }

// peers is the number of other hosts of a cell.
func (m *Model) peers() float64 { return float64(m.Cell.Hosts - 1) }

// recordsPerHost is the number of recordsPerHost that one host holds after a drain that
// lasted as long as a record lives: nothing deletes a record when its flow ends.
func (m *Model) recordsPerHost() float64 {
	written := float64(m.Cell.NewFlows) * float64(m.Design.DrainedShare) * float64(m.Design.HoldersPerRecord)
	return written * m.Design.RecordLifetime.Seconds() / float64(m.Cell.Hosts)
}

// targetsPerDomain is the number of targets of the cell in one failure domain.
func (m *Model) targetsPerDomain() float64 { return m.Cell.Targets / float64(m.Cell.Domains) }

// targetsPerPool is the number of targets of a pool when each address has its own.
func (m *Model) targetsPerPool() float64 { return m.Cell.Targets / m.Cell.Addresses }
