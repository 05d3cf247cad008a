package packet_test

import (
	"testing"

	"pimentospread/packet"
)

func BenchmarkDecode(b *testing.B) {
	e, d := packet.NewEncoder(), &packet.Decoder{}
	inner, err := e.TCP(packet.Segment{From: caller4, To: service4, Flags: packet.Flags{ACK: true}, Payload: make([]byte, 100)})
	if err != nil {
		b.Fatal(err)
	}
	wire, err := e.Encapsulate(packet.Header{Service: 7, Destination: 9}, inner)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := d.Decode(wire); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkEncapsulate(b *testing.B) {
	e := packet.NewEncoder()
	inner := make([]byte, 140)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := e.Encapsulate(packet.Header{Service: 7, Destination: 9}, inner); err != nil {
			b.Fatal(err)
		}
	}
}
