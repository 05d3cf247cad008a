package platform

import (
	"net"
	"net/http"
	"slices"
)

// apply answers the call with an error, or not at all, if a fault requires it. It
// reports whether a fault applied.
func (f Faults) apply(w http.ResponseWriter, r *http.Request) bool {
	switch {
	case f.Silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case f.Outage:
		http.Error(w, "outage", http.StatusServiceUnavailable)
	case f.exceeded:
		http.Error(w, "call rate exceeded", http.StatusTooManyRequests)
	case f.rejectsSource(r):
		http.Error(w, "calls from this address are rejected", f.RejectStatus)
	default:
		return false
	}
	return true
}

// rejectsSource reports whether calls from the client's IP address are rejected.
func (f Faults) rejectsSource(r *http.Request) bool {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	return err == nil && slices.Contains(f.RejectFrom, host)
}
