package loopback_test

import (
	"net/http"
	"testing"

	"pimentospread/standin/loopback"
)

// Guards against a stand-in that is reachable from another machine.
func TestListenRefusesOtherAddresses(t *testing.T) {
	for _, address := range []string{"0.0.0.0:0", "[::]:0", "192.0.2.1:0", ":0", "localhost:0"} {
		if _, err := loopback.ListenUDP(t.Context(), address); err == nil {
			t.Errorf("UDP on %q: got no error", address)
		}
		if _, err := loopback.ListenHTTP(t.Context(), address, http.NotFoundHandler()); err == nil {
			t.Errorf("HTTP on %q: got no error", address)
		}
	}
}
