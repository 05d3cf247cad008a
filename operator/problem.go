package operator

import (
	"encoding/json"
	"net/http"

	"github.com/joomcode/errorx"

	"pimentospread"
)

const (
	problemType = "application/problem+json"
	jsonType    = "application/json"
)

// Problem is an error of the API, encoded as specified by RFC 9457. Members
// defined by the RFC keep its spelling; extensions are in Pascal case.
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Kind is the name of the error type, such as "conflict".
	Kind string `json:"Kind"`
	// Step and Peer are the operation and the remote side at which the error occurred.
	Step   string                `json:"Step,omitempty"`
	Peer   string                `json:"Peer,omitempty"`
	Faults []pimentospread.Fault `json:"Faults,omitempty"`
}

// kinds maps error types to their names in the API and to HTTP status codes.
var kinds = []struct {
	kind   *errorx.Type
	name   string
	status int
}{
	{pimentospread.ErrInvalid, "invalid", http.StatusUnprocessableEntity},
	{pimentospread.ErrConflict, "conflict", http.StatusConflict},
	{pimentospread.ErrNotFound, "not_found", http.StatusNotFound},
	{pimentospread.ErrRefused, "refused", http.StatusForbidden},
	{pimentospread.ErrUncertain, "uncertain", http.StatusGatewayTimeout},
	{pimentospread.ErrTimeout, "timeout", http.StatusGatewayTimeout},
	{pimentospread.ErrUnavailable, "unavailable", http.StatusServiceUnavailable},
}

// problemOf returns the problem for an error. Errors of other types are internal.
func problemOf(err error) Problem {
	p := Problem{
		Status: http.StatusInternalServerError, Kind: "internal", Detail: pimentospread.MessageOf(err),
		Step: pimentospread.StepOf(err), Peer: pimentospread.PeerOf(err), Faults: pimentospread.FaultsOf(err),
	}
	for _, k := range kinds {
		if errorx.IsOfType(err, k.kind) {
			p.Status, p.Kind = k.status, k.name
			break
		}
	}
	p.Title = http.StatusText(p.Status)
	return p
}

// Error implements error, for clients of the API.
func (p Problem) Error() string { return pimentospread.WithStepAndPeer(p.Detail, p.Step, p.Peer) }

func writeProblem(w http.ResponseWriter, err error) {
	p := problemOf(err)
	w.Header().Set("Content-Type", problemType)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", jsonType)
	_ = json.NewEncoder(w).Encode(value)
}
