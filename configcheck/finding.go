package configcheck

import "fmt"

// Severity is how much a finding matters. The values sort errors first.
type Severity string

// Severities of findings.
const (
	// SeverityError means that the configuration must not be sent.
	SeverityError Severity = "error"
	// SeverityWarning means that hosts accept the value, but it is hardly intended.
	SeverityWarning Severity = "warning"
)

// Kind is the rule that a finding breaks.
type Kind string

// Kinds of errors.
const (
	// MalformedValue is a value of a wrong JSON type.
	MalformedValue       Kind = "MalformedValue"
	OutOfRange           Kind = "OutOfRange"
	InvalidAddress       Kind = "InvalidAddress"
	InvalidPort          Kind = "InvalidPort"
	UnknownRouteType     Kind = "UnknownRouteType"
	MissingVersion       Kind = "MissingVersion"
	MissingName          Kind = "MissingName"
	MissingService       Kind = "MissingService"
	DuplicateRouteName   Kind = "DuplicateRouteName"
	DuplicateServiceName Kind = "DuplicateServiceName"
	NegativeTime         Kind = "NegativeTime"
	// StaleVersion is a version that is not higher than that in force.
	StaleVersion Kind = "StaleVersion"
)

// Kinds of warnings.
const (
	UnknownField Kind = "UnknownField"
	NoRoutes     Kind = "NoRoutes"
	// UnmatchedAddress is an address that no packet can carry.
	UnmatchedAddress Kind = "UnmatchedAddress"
	// ShadowedRoute is a route whose address a later route has too.
	ShadowedRoute       Kind = "ShadowedRoute"
	ZeroWeight          Kind = "ZeroWeight"
	UnusedService       Kind = "UnusedService"
	UnlistedService     Kind = "UnlistedService"
	NoTargets           Kind = "NoTargets"
	LatencyAboveTimeout Kind = "LatencyAboveTimeout"
	// RetriesExceedTimeout is a timeout that leaves no time for two retries.
	RetriesExceedTimeout        Kind = "RetriesExceedTimeout"
	WarmupAboveSlots            Kind = "WarmupAboveSlots"
	ConnectionsAboveDescriptors Kind = "ConnectionsAboveDescriptors"
)

// severities holds the severity of the findings of each kind.
var severities = map[Kind]Severity{
	MalformedValue: SeverityError, OutOfRange: SeverityError, InvalidAddress: SeverityError, InvalidPort: SeverityError,
	UnknownRouteType: SeverityError, MissingVersion: SeverityError, MissingName: SeverityError, MissingService: SeverityError,
	DuplicateRouteName: SeverityError, DuplicateServiceName: SeverityError, NegativeTime: SeverityError, StaleVersion: SeverityError,

	UnknownField: SeverityWarning, NoRoutes: SeverityWarning, UnmatchedAddress: SeverityWarning, ShadowedRoute: SeverityWarning, ZeroWeight: SeverityWarning,
	UnusedService: SeverityWarning, UnlistedService: SeverityWarning, NoTargets: SeverityWarning,
	LatencyAboveTimeout: SeverityWarning, RetriesExceedTimeout: SeverityWarning, WarmupAboveSlots: SeverityWarning,
	ConnectionsAboveDescriptors: SeverityWarning,
}

// Finding is a value that breaks a rule.
type Finding struct {
	Kind     Kind     `json:"Kind"`
	Severity Severity `json:"Severity"`
	// Path is the path of the value, such as Routes[3].Timeout.
	Path    string `json:"Path"`
	Message string `json:"Message"`
}

// NewFinding returns a finding with a formatted message.
func NewFinding(kind Kind, path, format string, args ...any) Finding {
	return Finding{Kind: kind, Severity: severities[kind], Path: path, Message: fmt.Sprintf(format, args...)}
}

// String returns the path and the message.
func (f Finding) String() string {
	if f.Path == "" {
		return f.Message
	}
	return f.Path + ": " + f.Message
}
