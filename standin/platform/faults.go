package platform

import (
	"net"
	"net/http"
	"slices"
)

// strike answers the call as the faults say. It reports false when none applies.
func (f Faults) strike(w http.ResponseWriter, r *http.Request) bool {
	switch {
	case f.Silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case f.Outage:
		http.Error(w, "outage", http.StatusServiceUnavailable)
	case f.exceeded:
		http.Error(w, "too many calls", http.StatusTooManyRequests)
	case f.rejects(r):
		http.Error(w, "this host is turned away", f.RejectStatus)
	default:
		return false
	}
	return true
}

func (f Faults) rejects(r *http.Request) bool {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	return err == nil && slices.Contains(f.RejectFrom, host)
}
