package packet_test

import (
	"encoding/binary"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"pimentospread"
	"pimentospread/flow"
	"pimentospread/packet"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(m.Run())
}

var (
	caller4  = netip.MustParseAddrPort("198.51.100.7:4711")
	service4 = netip.MustParseAddrPort("192.0.2.10:443")
	caller6  = netip.MustParseAddrPort("[2001:db8::7]:4711")
	service6 = netip.MustParseAddrPort("[2001:db8::10]:443")
)

var compareAddresses = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })

func drawAddresses(t *rapid.T) (netip.AddrPort, netip.AddrPort) {
	size := rapid.SampledFrom([]int{4, 16}).Draw(t, "size")
	draw := func(name string) netip.AddrPort {
		raw := rapid.SliceOfN(rapid.Byte(), size, size).Draw(t, name)
		raw[0] |= 0x20 // excludes IPv4-mapped addresses, which the decoder rejects in an IPv6 packet
		a, _ := netip.AddrFromSlice(raw)
		return netip.AddrPortFrom(a, rapid.Uint16Min(1).Draw(t, name+"Port"))
	}
	return draw("from"), draw("to")
}

// TestDecodeReturnsWhatWasEncoded guards against an encoder and a decoder that disagree
// on a field, which would send a packet to the wrong target or service.
func TestDecodeReturnsWhatWasEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawAddresses(t)
		payload := rapid.SliceOfN(rapid.Byte(), 0, 1400).Draw(t, "payload")
		want := packet.Datagram{
			Header: packet.Header{
				Service:     pimentospread.ServiceID(rapid.Uint32Max(uint32(pimentospread.MaxServiceID)).Draw(t, "service")),
				Source:      pimentospread.TargetID(rapid.Uint32().Draw(t, "source")),
				Destination: pimentospread.TargetID(rapid.Uint32().Draw(t, "destination")),
			},
			From: from, To: to, Payload: payload, Protocol: packet.UDP,
		}
		e, d := packet.NewEncoder(), &packet.Decoder{}
		build := func() ([]byte, error) { return e.UDP(from, to, payload) }
		if rapid.Bool().Draw(t, "tcp") {
			want.Protocol = packet.TCP
			want.Sequence, want.Acknowledgement = rapid.Uint32().Draw(t, "sequence"), rapid.Uint32().Draw(t, "acknowledgement")
			want.Flags = packet.Flags{SYN: rapid.Bool().Draw(t, "syn"), ACK: rapid.Bool().Draw(t, "ack"), FIN: rapid.Bool().Draw(t, "fin")}
			build = func() ([]byte, error) {
				return e.TCP(packet.Segment{
					From: from, To: to, Sequence: want.Sequence,
					Acknowledgement: want.Acknowledgement, Flags: want.Flags, Payload: payload,
				})
			}
		}
		inner, err := build()
		if err != nil {
			t.Fatal(err)
		}
		want.Packet = inner
		wire, err := e.Encapsulate(want.Header, inner)
		if err != nil {
			t.Fatal(err)
		}
		got, err := d.Decode(wire)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got, compareAddresses); diff != "" {
			t.Fatal(diff)
		}
	})
}

func udpDatagram(t testing.TB, from, to netip.AddrPort) []byte {
	t.Helper()
	e := packet.NewEncoder()
	inner, err := e.UDP(from, to, []byte("the payload of a request"))
	if err != nil {
		t.Fatal(err)
	}
	wire, err := e.Encapsulate(packet.Header{Service: 7, Destination: 9}, inner)
	if err != nil {
		t.Fatal(err)
	}
	return wire
}

// TestDecodeReturnsCauseOfMalformedInput guards against malformed input that is
// accepted or counted under the wrong cause.
func TestDecodeReturnsCauseOfMalformedInput(t *testing.T) {
	const ethernet, ip = 8, 22
	tests := map[string]struct {
		change func(wire []byte) []byte
		want   packet.Cause
	}{
		"empty":                         {func([]byte) []byte { return nil }, packet.CauseVXLAN},
		"VNI flag not set":              {func(w []byte) []byte { w[0] = 0; return w }, packet.CauseVNI},
		"short frame":                   {func(w []byte) []byte { return w[:ethernet+13] }, packet.CauseEthernet},
		"MAC without TargetID":          {func(w []byte) []byte { w[ethernet] = 0xfe; return w }, packet.CauseHardware},
		"ARP":                           {func(w []byte) []byte { binary.BigEndian.PutUint16(w[ethernet+12:], 0x0806); return w }, packet.CauseEtherType},
		"EtherType of other IP version": {func(w []byte) []byte { binary.BigEndian.PutUint16(w[ethernet+12:], 0x86dd); return w }, packet.CauseEtherType},
		"no IP packet":                  {func(w []byte) []byte { return w[:ip] }, packet.CauseTruncated},
		"short IP header":               {func(w []byte) []byte { return w[:ip+19] }, packet.CauseIPv4},
		"total length of zero":          {func(w []byte) []byte { w[ip+2], w[ip+3] = 0, 0; return w }, packet.CauseIPv4},
		"truncated IP packet":           {func(w []byte) []byte { return w[:len(w)-1] }, packet.CauseTruncated},
		"fragment":                      {func(w []byte) []byte { w[ip+6] |= 0x20; return w }, packet.CauseFragment},
		"ICMP":                          {func(w []byte) []byte { w[ip+9] = 1; return w }, packet.CauseProtocol},
		"UDP length below 8":            {func(w []byte) []byte { w[ip+20+5] = 7; return w }, packet.CauseUDP},
		"UDP length too long":           {func(w []byte) []byte { w[ip+20+4] = 7; return w }, packet.CauseTruncated},
		"corrupted payload":             {func(w []byte) []byte { w[len(w)-1]++; return w }, packet.CauseUDPChecksum},
		"TCP data offset of zero":       {func(w []byte) []byte { w[ip+9] = 6; w[ip+20+12] = 0; return w }, packet.CauseTCP},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := (&packet.Decoder{}).Decode(tt.change(udpDatagram(t, caller4, service4)))
			if diff := cmp.Diff(error(tt.want), err); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestResetSequenceNumbers guards against resets with sequence numbers that the
// caller's TCP stack ignores (RFC 9293, section 3.10.7.1).
func TestResetSequenceNumbers(t *testing.T) {
	tests := map[string]struct {
		segment packet.Segment
		want    packet.Segment
	}{
		"acknowledging segment": {
			packet.Segment{From: caller4, To: service4, Sequence: 10, Acknowledgement: 77, Flags: packet.Flags{ACK: true}, Payload: []byte("abc")},
			packet.Segment{From: service4, To: caller4, Sequence: 77, Flags: packet.Flags{RST: true}},
		},
		"SYN over IPv6": {
			packet.Segment{From: caller6, To: service6, Sequence: 10, Flags: packet.Flags{SYN: true}},
			packet.Segment{From: service6, To: caller6, Acknowledgement: 11, Flags: packet.Flags{RST: true, ACK: true}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e, d := packet.NewEncoder(), &packet.Decoder{}
			inner, err := e.TCP(tt.segment)
			if err != nil {
				t.Fatal(err)
			}
			reset, err := e.Reset(inner)
			if err != nil {
				t.Fatal(err)
			}
			r, err := d.DecodeInner(reset)
			if err != nil {
				t.Fatal(err)
			}
			got := packet.Segment{From: r.From, To: r.To, Sequence: r.Sequence, Acknowledgement: r.Acknowledgement, Flags: r.Flags}
			if diff := cmp.Diff(tt.want, got, compareAddresses); diff != "" {
				t.Error(diff)
			}
			if _, err := e.Reset(reset); err != packet.CauseNotResettable { //nolint:errorlint // a Cause is returned unwrapped
				t.Errorf("reset in response to a reset: got error %v, want CauseNotResettable", err)
			}
		})
	}
}

// TestFlowPacketHasTheSameKeyInBothDirections guards against confusing packets from
// callers with packets from targets.
func TestFlowPacketHasTheSameKeyInBothDirections(t *testing.T) {
	toTarget := packet.Datagram{From: caller4, To: service4, Flags: packet.Flags{SYN: true}}.FlowPacket()
	toCaller := packet.Datagram{Header: packet.Header{Service: 7, Source: 9}, From: service4, To: caller4, Flags: packet.Flags{SYN: true, ACK: true}}.FlowPacket()
	want := flow.Packet{Key: toTarget.Key, ID: toTarget.ID, Service: 7, Direction: flow.ToCaller, From: 9}
	if diff := cmp.Diff(want, toCaller, compareAddresses); diff != "" {
		t.Error(diff)
	}
	if !toTarget.SYN || toTarget.Direction != flow.ToTarget {
		t.Errorf("SYN from a caller: got %+v, want SYN and direction ToTarget", toTarget)
	}
}

// TestFlowPacketDoesNotAllocate guards against allocations on the path of each packet.
func TestFlowPacketDoesNotAllocate(t *testing.T) {
	e, d := packet.NewEncoder(), &packet.Decoder{}
	inner, err := e.TCP(packet.Segment{From: caller4, To: service4, Flags: packet.Flags{ACK: true}, Payload: []byte("bid")})
	if err != nil {
		t.Fatal(err)
	}
	wire, err := e.Encapsulate(packet.Header{Service: 7, Destination: 9}, inner)
	if err != nil {
		t.Fatal(err)
	}
	allocations := testing.AllocsPerRun(100, func() {
		g, err := d.Decode(wire)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := e.Encapsulate(packet.Header{Service: 7, Destination: 9}, g.Packet); err != nil {
			t.Fatal(err)
		}
	})
	if allocations != 0 {
		t.Errorf("decode and encapsulate: got %g allocations, want 0", allocations)
	}
}

// FuzzDecode guards against a panic on any input, and against a decoded inner
// packet that does not decode to the same addresses again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{})
	f.Add(udpDatagram(f, caller4, service4))
	f.Add(udpDatagram(f, caller6, service6))
	f.Fuzz(func(t *testing.T, data []byte) {
		d := &packet.Decoder{}
		g, err := d.Decode(data)
		if err != nil {
			return
		}
		if again, err := d.DecodeInner(g.Packet); err != nil || again.From != g.From || again.To != g.To {
			t.Errorf("inner packet decodes to %+v, %v; want the addresses of the datagram", again, err)
		}
		if _, err := packet.NewEncoder().Reset(g.Packet); err != nil && g.Protocol == packet.TCP && !g.Flags.RST {
			t.Errorf("Reset of a TCP segment without RST: %v", err)
		}
	})
}
