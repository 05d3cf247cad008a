package tokenfront

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pimentospread"
	"pimentospread/platform"
	"pimentospread/settings"
)

const configurationText = `{"version":%d,"routes":[{"name":"r","host":"198.18.0.1","path_prefix":"/443/","route_type":"idempotent","timeout_ms":800,"target_latency_ms":120,"service":"desk"}],"services":[],"limits":{"idle_timeout_ms":15000}}`

// patience bounds how long a test waits for what must come. It is far above
// what a busy machine needs, and a test that passes never waits for it.
const patience = 30 * time.Second

// output collects the log.
type output struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.Write(p)
}

func (o *output) has(line string) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return strings.Contains(o.text.String(), line)
}

// running is a front that runs in a test.
type running struct {
	front  *Front
	log    *output
	stop   context.CancelFunc
	ended  chan error
	source []byte
	mutex  sync.Mutex
	reload chan os.Signal
}

func loopback(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
}

func startFront(t *testing.T, name string, s *store, seeds ...netip.AddrPort) *running {
	t.Helper()
	return startFrontWith(t, name, "", s, seeds...)
}

// startFrontWith adds fields to the settings.
func startFrontWith(t *testing.T, name, fields string, s *store, seeds ...netip.AddrPort) *running {
	t.Helper()
	r := &running{log: &output{}, ended: make(chan error, 1), reload: make(chan os.Signal, 1)}
	var list []string
	for _, a := range seeds {
		list = append(list, fmt.Sprintf(`{"PeerAddress":%q}`, a))
	}
	r.source = []byte(fmt.Sprintf(`{"Encapsulation":"token","Host":%q,"FailureDomain":"near","PlatformURL":"http://127.0.0.1:1","ShutdownGrace":"6s",%s"Seeds":[%s]}`, name, fields, strings.Join(list, ",")))
	decoded, faults, err := settings.Decode(r.source)
	if err != nil || len(faults) > 0 {
		t.Fatal(faults, err)
	}
	r.front, err = New(Deps{
		Settings: decoded, Source: settings.Source{Read: r.read, Again: r.reload},
		Clock: pimentospread.SystemClock{}, Output: r.log, ObjectStore: s,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go func() { r.ended <- r.front.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-r.ended; err != nil {
			t.Errorf("%s ended with %v", name, err)
		}
	})
	return r
}

func (r *running) read() ([]byte, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.source, nil
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("%s did not come", what)
}

func (r *running) ready() bool {
	a, err := http.Get("http://" + r.front.sockets.ready.Addr().String() + "/readyz") //nolint:noctx // the test ends with its patience
	if err != nil {
		return false
	}
	defer func() { _ = a.Body.Close() }()
	_, _ = io.Copy(io.Discard, a.Body)
	return a.StatusCode == http.StatusOK
}

// target is a socket that takes packets as a target does.
type target struct {
	conn *net.UDPConn
	name string
}

func newTarget(t *testing.T, s *store, name string) *target {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback(0)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	g := &target{conn, name}
	g.register(s, "ready")
	return g
}

func (g *target) key() pimentospread.ObjectKey {
	return pimentospread.ObjectKey{Kind: platform.KindTargets, Name: g.name}
}

func (g *target) register(s *store, state string) {
	s.write(g.key(), registrationText(g.conn.LocalAddr(), state))
}

func registrationText(address fmt.Stringer, state string) string {
	return fmt.Sprintf(`{"service":"desk","address":%q,"zone":"near","version":"v1","slots":2,"state":%q,"warmup_left_ms":0,"sequence":1,"born":5}`, address, state)
}

// syn returns a packet that opens a flow to the address 198.18.0.1 at the port.
func syn(callerPort, port uint16) []byte {
	p := make([]byte, 34)
	binary.BigEndian.PutUint16(p[0:], callerPort)
	copy(p[2:], []byte{198, 18, 0, 1})
	copy(p[6:], []byte{127, 0, 0, 1})
	binary.BigEndian.PutUint16(p[10:], port)
	p[16] = 4
	binary.BigEndian.PutUint32(p[20:], 0x11223344)
	return p
}

func (r *running) send(t *testing.T, packet []byte) {
	t.Helper()
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(r.front.sockets.data.Address()))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(packet); err != nil {
		t.Fatal(err)
	}
}

// receive returns the next datagram of the target.
func (g *target) receive(t *testing.T) []byte {
	t.Helper()
	if err := g.conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	data := make([]byte, 2048)
	n, err := g.conn.Read(data)
	if err != nil {
		t.Fatalf("target got nothing: %v", err)
	}
	return data[:n]
}

func prepared() *store {
	s := newStore()
	s.write(platform.ConfigurationKey, fmt.Sprintf(configurationText, 4))
	return s
}

// Guards against a path on which a packet is lost or changed between the
// socket and the target.
func TestPacketsReachTheTarget(t *testing.T) {
	t.Parallel()
	s := prepared()
	g := newTarget(t, s, "i-7f")
	r := startFront(t, "h-1", s)
	eventually(t, "readiness", r.ready)
	r.send(t, syn(4000, 443))
	got := g.receive(t)
	if len(got) != 42 || binary.BigEndian.Uint64(got) != 0x7f {
		t.Fatalf("target got %x", got)
	}
	token := binary.BigEndian.Uint32(got[8+12:])
	if token == 0 {
		t.Error("the SYN carries no token")
	}
	data := append(syn(4000, 443), "GET"...)
	data[16] = 8
	binary.BigEndian.PutUint32(data[12:], token)
	binary.BigEndian.PutUint16(data[32:], 3)
	r.send(t, data)
	if got := g.receive(t); !bytes.Equal(got[8:], data) {
		t.Errorf("target got %x, want %x unchanged", got[8:], data)
	}
	r.send(t, syn(4000, 444))
	r.send(t, []byte("short"))
	eventually(t, "the count of the reset and the malformed packet", func() bool {
		var b bytes.Buffer
		r.front.metrics.Write(&b)
		return strings.Contains(b.String(), `pimentospread_packets_total{action="reset",cause="no_route"} 1`) &&
			strings.Contains(b.String(), `pimentospread_malformed_total{what="packet",cause="short"} 1`)
	})
}

// Guards against an entry that names an address at which nobody reaches the host.
func TestEntryNamesTheAdvertisedAddress(t *testing.T) {
	t.Parallel()
	s := prepared()
	startFrontWith(t, "h-1", `"PeerAddress":"0.0.0.0:0","TrustedNetwork":true,"AdvertisedPeerAddress":"127.0.0.9:7000",`, s)
	eventually(t, "the entry of the host", func() bool {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		entry := s.objects[pimentospread.ObjectKey{Kind: pimentospread.KindHost, Name: "h-1"}]
		return strings.Contains(string(entry.Value), `"127.0.0.9:7000"`)
	})
}

// Guards against a first list that uses up the log lines of its second, so that
// the line on readiness is missing after a restart with many targets.
func TestFirstListLeavesRoomInTheLog(t *testing.T) {
	t.Parallel()
	s := prepared()
	for i := range 400 {
		key := pimentospread.ObjectKey{Kind: platform.KindTargets, Name: fmt.Sprintf("i-%d", i+1)}
		s.write(key, registrationText(loopback(20000+i), "ready"))
	}
	r := startFront(t, "h-1", s)
	eventually(t, "readiness", r.ready)
	eventually(t, "the line on readiness", func() bool { return r.log.has(`"msg":"host ready"`) })
	eventually(t, "the line on the rest of the list", func() bool { return r.log.has(`"msg":"more targets changed"`) && r.log.has(`"added":368`) })
}

// Guards against changes that never reach the packets.
func TestChangesTakeEffect(t *testing.T) {
	t.Parallel()
	s := prepared()
	a := newTarget(t, s, "i-1")
	r := startFront(t, "h-1", s)
	eventually(t, "readiness", r.ready)
	b := newTarget(t, s, "i-2")
	a.register(s, "draining")
	eventually(t, "the drain", func() bool { return r.log.has("target draining") && r.log.has("target added") })
	r.send(t, syn(4001, 443))
	b.receive(t)
	s.write(pimentospread.ObjectKey{Kind: platform.KindTargets, Name: "i-3"}, `"nobody"`)
	eventually(t, "the line on the unreadable entry", func() bool { return r.log.has("registration is not readable") })
	s.remove(a.key())
	eventually(t, "the removal", func() bool { return r.log.has("target gone") })
	s.write(platform.ConfigurationKey, fmt.Sprintf(configurationText, 9))
	eventually(t, "the configuration", func() bool { return r.log.has(`"configuration":9,"before":4`) })
	s.write(platform.ConfigurationKey, `{"version":"x"}`)
	eventually(t, "the line on the unreadable configuration", func() bool { return r.log.has("the last good one stays in force") })
	r.send(t, syn(4002, 443))
	b.receive(t)
}

// Guards against a host that starts while the platform is away and drops the
// packets of its failure domain although its neighbours know everything.
func TestStartWithoutThePlatform(t *testing.T) {
	t.Parallel()
	s := prepared()
	g := newTarget(t, s, "i-7f")
	first := startFront(t, "h-1", s)
	eventually(t, "readiness", first.ready)
	s.setAway(true)
	dead := loopback(1)
	second := startFront(t, "h-2", s, dead, first.front.self().Address)
	eventually(t, "readiness without the platform", second.ready)
	second.send(t, syn(4000, 443))
	g.receive(t)
}

// Guards against platform calls that grow with the hosts of a failure domain.
func TestFewHostsReadThePlatform(t *testing.T) {
	t.Parallel()
	s := prepared()
	g := newTarget(t, s, "i-7f")
	var fronts []*running
	for i := range 6 {
		fronts = append(fronts, startFront(t, fmt.Sprintf("h-%d", i+1), s))
	}
	// The entry of a host that stops stays for a while.
	entries := len(fronts)
	reading := func() int {
		n := 0
		for _, r := range fronts {
			if v := r.front.belief.summary.Load(); v == nil || v.source.Platform || v.hosts != entries {
				n++
			}
		}
		return n
	}
	eventually(t, "one reader", func() bool { return reading() == 1 })
	g.register(s, "draining")
	eventually(t, "the drain on every host", func() bool {
		for _, r := range fronts {
			if !r.log.has("target draining") {
				return false
			}
		}
		return true
	})
	// The reader stops; another one takes its place and the rest follow.
	for i, r := range fronts {
		if r.front.belief.summary.Load().source.Platform {
			r.stop()
			r.ended <- <-r.ended
			fronts = append(fronts[:i:i], fronts[i+1:]...)
			break
		}
	}
	eventually(t, "one reader again", func() bool { return reading() == 1 })
}

// Guards against a host that others cannot find because its entry was removed.
func TestHostKeepsItsEntry(t *testing.T) {
	t.Parallel()
	s := prepared()
	newTarget(t, s, "i-7f")
	r := startFront(t, "h-1", s)
	key := pimentospread.ObjectKey{Kind: pimentospread.KindHost, Name: "h-1"}
	eventually(t, "the entry", func() bool { return s.has(key) && r.ready() })
	eventually(t, "the host in its own list", func() bool { return r.log.has("hosts changed") })
	time.Sleep(settleTime)
	s.remove(key)
	eventually(t, "the entry again", func() bool { return s.has(key) })
}

// Guards against SIGHUP that ends the host, and against changed settings that
// are taken though they are wrong.
func TestSettingsAreReadAgain(t *testing.T) {
	t.Parallel()
	s := prepared()
	newTarget(t, s, "i-7f")
	r := startFront(t, "h-1", s)
	eventually(t, "readiness", r.ready)
	change := func(old, replacement string) {
		r.mutex.Lock()
		r.source = bytes.Replace(r.source, []byte(old), []byte(replacement), 1)
		r.mutex.Unlock()
		r.reload <- syscall.SIGHUP
	}
	r.reload <- syscall.SIGHUP
	eventually(t, "the reading", func() bool { return r.log.has("settings read again, unchanged") })
	change(`"6s"`, `"7s","LogLevel":"debug"`)
	eventually(t, "the change", func() bool { return r.log.has(`"changed":["LogLevel"],"need_restart":["ShutdownGrace"]`) })
	change(`"debug"`, `"loud"`)
	eventually(t, "the refusal", func() bool { return r.log.has("changed settings are not sound and not taken") })
	if !r.ready() {
		t.Error("the host is no longer ready")
	}
}

// Guards against packets that are lost while the fabric still sends them to a
// host that stops.
func TestLeavingHostSteers(t *testing.T) {
	t.Parallel()
	s := prepared()
	g := newTarget(t, s, "i-7f")
	r := startFront(t, "h-1", s)
	eventually(t, "readiness", r.ready)
	r.stop()
	eventually(t, "the host to be unready", func() bool { return !r.ready() })
	r.send(t, syn(4000, 443))
	g.receive(t)
}
