package settings_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"pimentospread/settings"
)

// validStart is the start of valid settings, without the closing brace.
const validStart = `{"Host":"neg-1","Cell":"trust","FailureDomain":"lk-west-neg",` +
	`"FabricAddress":"127.0.0.1:4789","PlatformURL":"http://127.0.0.1:8500"`

// Guards against a host that starts with invalid settings, and against a check
// that reports only the first fault.
func TestDecode(t *testing.T) {
	tests := map[string]struct {
		text    string
		faults  []string
		invalid bool
	}{
		"valid":                 {text: validStart + `}`},
		"unknown field":         {text: validStart + `,"Hots":"x"}`, faults: []string{"Hots: is not a known field"}},
		"number without a unit": {text: validStart + `,"ShutdownGrace":30}`, faults: []string{`ShutdownGrace: number does not fit, must be a text with a unit, such as "10s"`}},
		"not JSON":              {text: validStart, invalid: true},
		"more than one value":   {text: validStart + `}{}`, invalid: true},
		"undecodable and out of range": {text: validStart + `,"PeerAddress":"x","Seeds":[{"Host":1}],"FlowShards":0}`, faults: []string{
			"PeerAddress: not an ip:port", "Seeds[0].Host: number does not fit, must be a text",
			"Seeds[0].PeerAddress: is not an address with a port", "FlowShards: is 0, must be between 1 and 64",
		}},
		"all faults at once": {
			text: `{"FlowShards":0,"ProbeTimeout":"0s","LogLevel":"loud","AdminAddress":"192.0.2.1:80"}`,
			faults: []string{
				"Host: is required", "Cell: is required", "FailureDomain: is required",
				"AdminAddress: 192.0.2.1:80 is not a loopback address and AllowRemoteAdmin is false",
				"AdminAddress: 192.0.2.1:80 is not a loopback address and AdminKeys is not set",
				`FabricAddress: "invalid AddrPort" is not an address with a port`,
				`PlatformURL: "" is not a URL with a host`,
				"FlowShards: is 0, must be between 1 and 64",
				"ProbeTimeout: is 0s, must be above 0s",
				`LogLevel: "loud" is not one of debug, info, warn, error`,
			},
		},
		"plain TCP to other hosts": {
			text: validStart + `,"PeerAddress":"0.0.0.0:7000","Seeds":[{"Host":"neg-2","PeerAddress":"192.0.2.2:7000"}]}`,
			faults: []string{
				"PeerAddress: 0.0.0.0:7000 is not a loopback address and PeerKeys is not set",
				"Seeds[0].PeerAddress: 192.0.2.2:7000 is not a loopback address and PeerKeys is not set",
			},
		},
		"token requires no cell and no fabric": {
			text: `{"Encapsulation":"token","Host":"h","FailureDomain":"f","PlatformURL":"http://127.0.0.1:1"}`,
		},
		"faults of the fields for token": {
			text: `{"Encapsulation":"token","Host":"h","FailureDomain":"f","PlatformURL":"http://127.0.0.1:1","PlatformWait":"0s","RemoteCost":-1,"ColdSpeed":2,"FlowLogShare":0,"MemoryLimitMB":-1,"LinkMbps":1e9}`,
			faults: []string{
				"PlatformWait: is 0s, must be above 0s", "RemoteCost: is -1, must not be below 0",
				"ColdSpeed: is 2, must be above 0 and at most 1", "FlowLogShare: is 0, must be between 1 and 2147483647",
				"MemoryLimitMB: is -1, must be between 0 and 1048576", "LinkMbps: is 1e+09, must be between 0 and 1000000",
			},
		},
		"all interfaces without an advertised address": {
			text:   `{"Encapsulation":"token","Host":"h","FailureDomain":"f","PlatformURL":"http://127.0.0.1:1","PeerAddress":"0.0.0.0:7000","TrustedNetwork":true}`,
			faults: []string{"AdvertisedPeerAddress: is required when PeerAddress is 0.0.0.0:7000"},
		},
		"advertised address for all interfaces": {
			text:   `{"Encapsulation":"token","Host":"h","FailureDomain":"f","PlatformURL":"http://127.0.0.1:1","AdvertisedPeerAddress":"0.0.0.0:7000"}`,
			faults: []string{"AdvertisedPeerAddress: 0.0.0.0:7000 is not the address of a single host"},
		},
		"unknown encapsulation": {
			text: validStart + `,"Encapsulation":"x"}`, faults: []string{`Encapsulation: "x" is neither vxlan nor token`},
		},
		"plain TCP to other hosts in a trusted network": {
			text: validStart + `,"PeerAddress":"192.0.2.1:7000","TrustedNetwork":true}`,
		},
		"keys for other hosts": {
			text: validStart + `,"PeerAddress":"0.0.0.0:7000","PeerKeys":{"CertificatePath":"c","KeyPath":"k","AuthorityPath":"a"}}`,
		},
		"incomplete keys": {
			text: validStart + `,"PeerKeys":{"KeyPath":"k"},"AdminKeys":{"CertificatePath":"c"}}`,
			faults: []string{
				"PeerKeys.CertificatePath: is required", "PeerKeys.AuthorityPath: is required", "AdminKeys.KeyPath: is required",
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, faults, err := settings.Decode([]byte(tc.text))
			if (err != nil) != tc.invalid {
				t.Fatalf("error %v, want an error: %t", err, tc.invalid)
			}
			var got []string
			for _, f := range faults {
				got = append(got, f.String())
			}
			if diff := cmp.Diff(tc.faults, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func ExampleDecode() {
	s, faults, err := settings.Decode([]byte(validStart + `,"ShutdownGrace":"45s"}`))
	fmt.Println(s.Host, s.ShutdownGrace, len(faults), err)
	// Output: neg-1 45s 0 <nil>
}

// Guards against a reference page that differs from the settings.
func TestReferencePageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	want, err := settings.Reference()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, string(page)); diff != "" {
		t.Errorf("docs/settings.md is out of date; run pimentospread settings --reference > docs/settings.md\n%s", diff)
	}
}
