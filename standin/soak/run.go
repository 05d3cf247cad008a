package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"pimentospread"
	"pimentospread/duty"
	"pimentospread/standin/loopback"
	"pimentospread/standin/owner"
	"pimentospread/standin/platform"
)

const (
	// questionRoom is above the events of a moment.
	questionRoom = 4096
	// recoveryTime bounds the time in which all is served again after the last fault.
	recoveryTime = 30 * time.Second
	// finalFlows must all be served in the end.
	finalFlows = 40
)

// Config says what a run does.
type Config struct {
	Seed    uint64
	Length  time.Duration
	Hosts   int
	Callers int
	// Faults names the kinds of faults that may come. Empty means all; a seed gives
	// the same faults only with the same kinds.
	Faults []string
	// Timed checks promises with a bound in time as well.
	Timed bool
	// Program is the pimentospread program, and Dir takes settings, logs and the diary.
	Program, Dir string
}

// run is one run.
type run struct {
	config  Config
	began   time.Time
	diary   io.Writer
	judge   *judge
	hosts   []*host
	callers *callers
	// store is the URL of the platform.
	store   string
	client  *loopback.Client
	group   *duty.Group
	targets map[string][]*live
	next    int
	version int
	flip    map[int]bool
}

// live is a target that runs.
type live struct {
	target *target
	stop   context.CancelFunc
}

// services are the names of the services, and addresses those that callers send to.
var (
	services  = []string{"desk", "office"}
	addresses = []netip.AddrPort{
		netip.MustParseAddrPort("198.18.0.1:443"), netip.MustParseAddrPort("198.18.0.2:443"), netip.MustParseAddrPort("198.18.0.3:443"),
	}
)

// Run plays one run and returns what it found.
func Run(ctx context.Context, c Config) (Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	diary, err := os.Create(filepath.Join(c.Dir, "diary.txt"))
	if err != nil {
		return Outcome{}, err
	}
	defer func() { _ = diary.Close() }()
	b := newBook(c.Seed, c.Timed)
	r := &run{
		config: c, began: time.Now(), diary: diary, client: loopback.NewClient(5 * time.Second),
		group:   duty.NewGroup(ctx, slog.New(slog.NewTextHandler(os.Stderr, nil))),
		targets: map[string][]*live{}, flip: map[int]bool{}, next: 1,
	}
	// Who tells the judge something gives up when the duties end.
	r.judge = &judge{owner: owner.New[*book](questionRoom), ctx: r.group.Context()}
	r.group.Go("judge", func(ctx context.Context) error { return r.judge.owner.Run(ctx, b) })
	if err := r.start(); err != nil {
		return Outcome{}, err
	}
	rng := rand.New(rand.NewPCG(c.Seed, 1))
	if err := r.ready(ctx); err != nil {
		return Outcome{}, err
	}
	traffic, endTraffic := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() { defer close(done); r.traffic(traffic) }()
	r.disturb(ctx, rng, c.Length)
	if err := r.ready(ctx); err != nil {
		r.judge.broken("recover", "%v", err)
	}
	endTraffic()
	<-done
	r.final(ctx)
	outcome, err := owner.Ask(ctx, r.judge.owner, func(b *book) Outcome { return b.outcome })
	r.group.Stop()
	if failed := r.group.Wait(); err == nil {
		err = failed
	}
	return outcome, err
}

// start brings the platform, the targets, the callers and the hosts up.
func (r *run) start() error {
	store := owner.New[*platform.Store](questionRoom)
	r.group.Go("store", func(ctx context.Context) error { return store.Run(ctx, platform.NewStore()) })
	server, err := loopback.ListenHTTP(r.group.Context(), "127.0.0.1:0", platform.NewHandler(store))
	if err != nil {
		return err
	}
	r.group.Go("object API", server.Serve)
	r.store = "http://" + server.Address().String()
	r.configure(rand.New(rand.NewPCG(1, 1)))
	for _, service := range services {
		for range 4 {
			if err := r.addTarget(service); err != nil {
				return err
			}
		}
	}
	if r.callers, err = newCallers(r.address(1, 1), r.judge, r.rotation); err != nil {
		return err
	}
	r.group.Go("callers", r.callers.run)
	for i := range r.config.Hosts {
		h := &host{number: i, address: r.address(0, byte(10+i)), advertised: r.address(3, byte(10+i)), program: r.config.Program, dir: r.config.Dir, judge: r.judge}
		if h.proxy, err = newProxy(r.group.Context(), "127.0.0.1:0", strings.TrimPrefix(r.store, "http://")); err != nil {
			return err
		}
		if h.peers, err = newProxy(r.group.Context(), h.advertises(), h.at(peerPort)); err != nil {
			return err
		}
		r.group.Go("proxy", h.proxy.run)
		r.group.Go("peer proxy", h.peers.run)
		r.hosts = append(r.hosts, h)
	}
	seeds := []string{r.hosts[0].advertises(), r.hosts[len(r.hosts)-1].advertises()}
	for _, h := range r.hosts {
		if err := h.settings(seeds); err != nil {
			return err
		}
		r.group.Go(fmt.Sprintf("host %d", h.number), h.run)
		r.group.Go(fmt.Sprintf("probe %d", h.number), h.probe)
	}
	return nil
}

// address returns a loopback address of the run. Runs with other seeds have
// others, so that some can run beside each other.
func (r *run) address(net, number byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + r.config.Seed%200), net, number})
}

func (r *run) rotation() []netip.AddrPort {
	var list []netip.AddrPort
	for _, h := range r.hosts {
		if h.inTurn.Load() {
			list = append(list, netip.AddrPortFrom(h.address, dataPort))
		}
	}
	return list
}

// ready waits until all hosts are in rotation.
func (r *run) ready(ctx context.Context) error {
	for end := time.Now().Add(recoveryTime); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		if len(r.rotation()) == len(r.hosts) {
			return nil
		}
	}
	return pimentospread.At(pimentospread.ErrTimeout.New("%d of %d hosts are ready after %s", len(r.rotation()), len(r.hosts), recoveryTime), "ready", "")
}

// traffic keeps callers busy: every other one holds a long flow.
func (r *run) traffic(ctx context.Context) {
	ended := make(chan struct{})
	for i := range r.config.Callers {
		go func() {
			defer func() { ended <- struct{}{} }()
			requests, pause := 1, 20*time.Millisecond
			if i%2 == 0 {
				requests, pause = 30, 150*time.Millisecond
			}
			for n := 0; ctx.Err() == nil; n++ {
				r.converse(ctx, uint16(1024+i*500+n%500), addresses[(i+n)%len(addresses)], requests, pause)
			}
		}()
	}
	for range r.config.Callers {
		<-ended
	}
}

func (r *run) converse(ctx context.Context, port uint16, address netip.AddrPort, requests int, pause time.Duration) bool {
	key := netip.AddrPortFrom(r.address(1, 1), port)
	err := r.callers.converse(ctx, port, address, requests, pause)
	if ctx.Err() == nil || err == nil {
		r.judge.ended(key, err)
	}
	if err != nil && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	return err == nil
}

// final opens flows after the last fault, which must all be served.
func (r *run) final(ctx context.Context) {
	failed := 0
	for i := range finalFlows {
		port := uint16(60000 + i)
		served := false
		for try := 0; try < 5 && !served && ctx.Err() == nil; try++ {
			served = r.converse(ctx, port+uint16(try*finalFlows), addresses[i%2], 2, 10*time.Millisecond)
		}
		if !served {
			failed++
		}
	}
	if failed > 0 {
		r.judge.broken("recover", "%d of %d flows were not served after the last fault", failed, finalFlows)
	}
}

// note writes a line of the diary, which tells with the hosts' logs what happened.
func (r *run) note(format string, args ...any) {
	line := fmt.Sprintf("%.3f s ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	if _, err := fmt.Fprintln(r.diary, line); err != nil {
		r.judge.trouble("diary: %v", err)
	}
}

func (r *run) anyHost(rng *rand.Rand) *host { return r.hosts[rng.IntN(len(r.hosts))] }

// admin changes the stand-in of the platform.
func (r *run) admin(method, path, body string) {
	if _, err := r.client.Call(context.Background(), method, r.store+path, nil, []byte(body)); err != nil {
		r.judge.trouble("platform refuses %s: %v", path, err)
	}
}

// write changes an object as an operator or a target does, again until the
// platform takes it, and returns the time at which that was acknowledged.
func (r *run) write(method, kind, name, spec string) time.Time {
	body := fmt.Sprintf(`{"meta":{"name":%q},"spec":%s}`, name, spec)
	if spec == "" {
		body = ""
	}
	for {
		place := r.store + "/v1/objects/" + kind + "/" + name
		if method == http.MethodPost {
			place = r.store + "/v1/objects/" + kind
		}
		_, err := r.client.Call(r.judge.ctx, method, place, nil, []byte(body))
		// The answer to a write that was done may be lost; the next one then finds
		// the object created or gone.
		if err == nil || r.judge.ctx.Err() != nil || strings.Contains(err.Error(), "status 404") || strings.Contains(err.Error(), "status 409") {
			return time.Now()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// configure writes a new configuration: it moves the first route between the
// services, and drops or adds the third one.
func (r *run) configure(rng *rand.Rand) {
	r.version += 1 + rng.IntN(3)
	which := []int{0, 2}[rng.IntN(2)]
	r.flip[which] = !r.flip[which]
	now := []string{services[0], services[1], services[0]}
	if r.flip[0] {
		now[0] = services[1]
	}
	if r.flip[2] {
		now[2] = ""
	}
	var routes []map[string]any
	for i, service := range now {
		if service != "" {
			routes = append(routes, map[string]any{
				"name": fmt.Sprintf("r-%d", i), "host": addresses[i].Addr().String(), "path_prefix": fmt.Sprintf("/%d/", addresses[i].Port()),
				"route_type": "idempotent", "timeout_ms": 1000, "target_latency_ms": 100, "service": service,
			})
		}
	}
	spec, err := json.Marshal(map[string]any{"version": r.version, "routes": routes, "services": []any{}, "limits": map[string]any{"idle_timeout_ms": 15000}})
	if err != nil {
		r.judge.trouble("configuration: %v", err)
		return
	}
	// A new route counts from before the write, and the bound from after it.
	r.judge.tell(func(b *book) { b.route(now, time.Now()) })
	at := r.write(http.MethodPut, "config", "main", string(spec))
	r.judge.tell(func(b *book) { b.acknowledge(at) })
}

func (b *book) route(now []string, at time.Time) {
	for i, service := range now {
		h := b.routes[addresses[i]]
		if len(h) == 0 || h[len(h)-1].service != service {
			b.routes[addresses[i]] = append(h, routed{service, at})
		}
	}
}

func (b *book) acknowledge(at time.Time) {
	for _, h := range b.routes {
		if last := &h[len(h)-1]; last.since.Before(at) && at.Sub(last.since) < recoveryTime {
			last.since = at
		}
	}
}

func (r *run) addTarget(service string) error {
	t, err := newTarget(r.next, r.address(2, 1), service, fmt.Sprintf("zone-%d", r.next%2), r.judge)
	if err != nil {
		return err
	}
	r.next++
	ctx, stop := context.WithCancel(r.group.Context())
	r.group.Go("target "+t.name, func(context.Context) error { return t.run(ctx) })
	r.targets[service] = append(r.targets[service], &live{t, stop})
	r.write(http.MethodPost, "servers", t.name, t.registration(stateReady, 1))
	return nil
}

// oldest takes the target that has run longest.
func (r *run) oldest(rng *rand.Rand) (string, *live) {
	service := services[rng.IntN(len(services))]
	l := r.targets[service][0]
	r.targets[service] = r.targets[service][1:]
	return service, l
}

// crash ends a target without a word. Its entry lapses later, and another one starts.
func (r *run) crash(rng *rand.Rand) {
	service, l := r.oldest(rng)
	r.judge.tell(func(b *book) { b.crashed[l.target] = true })
	l.stop()
	if err := r.addTarget(service); err != nil {
		r.judge.trouble("target: %v", err)
	}
	time.AfterFunc(2300*time.Millisecond, func() { r.write(http.MethodDelete, "servers", l.target.name, "") })
}

// replace starts a target and drains the oldest one, which serves on for 4 s
// after the platform has heard of it, and then ends.
func (r *run) replace(rng *rand.Rand) {
	service, l := r.oldest(rng)
	if err := r.addTarget(service); err != nil {
		r.judge.trouble("target: %v", err)
	}
	go func() {
		at := r.write(http.MethodPut, "servers", l.target.name, l.target.registration(stateDraining, 2))
		r.judge.tell(func(b *book) { b.leaving[l.target] = at })
		time.Sleep(4 * time.Second)
		r.judge.tell(func(b *book) { b.crashed[l.target] = true })
		l.stop()
		r.write(http.MethodDelete, "servers", l.target.name, "")
	}()
}
