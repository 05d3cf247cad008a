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
	// questionCapacity is above the number of events that wait for a duty at a time.
	questionCapacity = 4096
	// recoveryTime bounds the time until all hosts are ready after the last fault.
	recoveryTime = 30 * time.Second
	// finalFlows is the number of flows after the last fault, which must all be served.
	finalFlows = 40
)

// Config configures a run.
type Config struct {
	Seed    uint64
	Length  time.Duration
	Hosts   int
	Callers int
	// Faults lists the kinds of faults to inject. Empty means all. A seed gives the
	// same faults only with the same list.
	Faults []string
	// Timed enables the invariants with a time bound.
	Timed bool
	// Program is the path of the pimentospread binary, and Dir the folder for
	// settings, logs and the diary.
	Program, Dir string
}

// run holds the state of a run.
type run struct {
	config      Config
	startedAt   time.Time
	diary       io.Writer
	checker     *checker
	hosts       []*host
	callers     *callers
	platformURL string
	client      *loopback.Client
	group       *duty.Group
	targets     map[string][]*runningTarget
	objects     writtenObjects
	// started is set once the first targets and hosts run. Later targets are cold at first.
	started bool
	// nextTarget is the number of the next target.
	nextTarget int
	version    int
	// toggled holds, by index, the routes that differ from the first configuration.
	toggled map[int]bool
}

// runningTarget is a target with the function that stops it.
type runningTarget struct {
	target *target
	stop   context.CancelFunc
}

var (
	// services are the names of the services.
	services = []string{"desk", "office"}
	// addresses are the service addresses to which callers send.
	addresses = []netip.AddrPort{
		netip.MustParseAddrPort("198.18.0.1:443"), netip.MustParseAddrPort("198.18.0.2:443"), netip.MustParseAddrPort("198.18.0.3:443"),
	}
)

// Run executes a run and returns its outcome.
func Run(ctx context.Context, c Config) (Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	diary, err := os.Create(filepath.Join(c.Dir, "diary.txt"))
	if err != nil {
		return Outcome{}, err
	}
	defer func() { _ = diary.Close() }()
	o := newObservations(c.Seed, c.Timed)
	r := &run{
		config: c, startedAt: time.Now(), diary: diary, client: loopback.NewClient(5 * time.Second),
		group:   duty.NewGroup(ctx, slog.New(slog.NewTextHandler(os.Stderr, nil))),
		targets: map[string][]*runningTarget{}, objects: writtenObjects{specs: map[objectName]string{}}, toggled: map[int]bool{}, nextTarget: 1,
	}
	// Updates of the observations return with an error when the duties end.
	r.checker = &checker{owner: owner.New[*observations](questionCapacity), ctx: r.group.Context()}
	r.group.Go("judge", func(ctx context.Context) error { return r.checker.owner.Run(ctx, o) })
	if err := r.start(); err != nil {
		return Outcome{}, err
	}
	r.started = true
	rng := rand.New(rand.NewPCG(c.Seed, 1))
	if err := r.waitReady(ctx); err != nil {
		return Outcome{}, err
	}
	traffic, endTraffic := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() { defer close(done); r.runCallers(traffic) }()
	r.injectFaults(ctx, rng, c.Length)
	if err := r.waitReady(ctx); err != nil {
		r.checker.addViolation("recover", "%v", err)
	}
	endTraffic()
	<-done
	r.checkFinalFlows(ctx)
	outcome, err := owner.Do(ctx, r.checker.owner, func(o *observations) Outcome { return o.outcome })
	r.group.Stop()
	if failed := r.group.Wait(); err == nil {
		err = failed
	}
	return outcome, err
}

// start starts the platform, the targets, the callers and the hosts.
func (r *run) start() error {
	store := owner.New[*platform.Store](questionCapacity)
	r.group.Go("store", func(ctx context.Context) error { return store.Run(ctx, platform.NewStore()) })
	server, err := loopback.ListenHTTP(r.group.Context(), "127.0.0.1:0", platform.NewHandler(store))
	if err != nil {
		return err
	}
	r.group.Go("object API", server.Serve)
	r.platformURL = "http://" + server.Address().String()
	r.writeConfiguration(rand.New(rand.NewPCG(1, 1)))
	for _, service := range services {
		for range 4 {
			if err := r.addTarget(service); err != nil {
				return err
			}
		}
	}
	if r.callers, err = newCallers(r.address(1, 1), r.checker, r.hostsInRotation); err != nil {
		return err
	}
	r.group.Go("callers", r.callers.run)
	for i := range r.config.Hosts {
		h := &host{number: i, address: r.address(0, byte(10+i)), advertised: r.address(3, byte(10+i)), program: r.config.Program, dir: r.config.Dir, checker: r.checker}
		if h.platformProxy, err = newProxy(r.group.Context(), "127.0.0.1:0", strings.TrimPrefix(r.platformURL, "http://")); err != nil {
			return err
		}
		if h.peerProxy, err = newProxy(r.group.Context(), h.advertisedPeerAddress(), h.endpoint(peerPort)); err != nil {
			return err
		}
		r.group.Go("proxy", h.platformProxy.run)
		r.group.Go("peer proxy", h.peerProxy.run)
		r.hosts = append(r.hosts, h)
	}
	seeds := []string{r.hosts[0].advertisedPeerAddress(), r.hosts[len(r.hosts)-1].advertisedPeerAddress()}
	for _, h := range r.hosts {
		if err := h.writeSettings(seeds); err != nil {
			return err
		}
		r.group.Go(fmt.Sprintf("host %d", h.number), h.run)
		r.group.Go(fmt.Sprintf("probe %d", h.number), h.probe)
	}
	return nil
}

// address returns a loopback address of the run. Runs with different seeds use
// different addresses, so that several of them can run at the same time.
func (r *run) address(net, number byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + r.config.Seed%200), net, number})
}

// hostsInRotation returns the data addresses of the hosts in rotation.
func (r *run) hostsInRotation() []netip.AddrPort {
	var list []netip.AddrPort
	for _, h := range r.hosts {
		if h.inRotation.Load() {
			list = append(list, netip.AddrPortFrom(h.address, dataPort))
		}
	}
	return list
}

// waitReady waits until all hosts are in rotation.
func (r *run) waitReady(ctx context.Context) error {
	for end := time.Now().Add(recoveryTime); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		if len(r.hostsInRotation()) == len(r.hosts) {
			return nil
		}
	}
	return pimentospread.At(pimentospread.ErrTimeout.New("%d of %d hosts are ready after %s", len(r.hostsInRotation()), len(r.hosts), recoveryTime), "ready", "")
}

// runCallers runs flows one after another for each caller until the context ends.
// Every other caller opens long flows.
func (r *run) runCallers(ctx context.Context) {
	ended := make(chan struct{})
	for i := range r.config.Callers {
		go func() {
			defer func() { ended <- struct{}{} }()
			requests, pause := 1, 20*time.Millisecond
			if i%2 == 0 {
				requests, pause = 30, 150*time.Millisecond
			}
			for n := 0; ctx.Err() == nil; n++ {
				r.runFlow(ctx, uint16(1024+i*500+n%500), addresses[(i+n)%len(addresses)], requests, pause)
			}
		}()
	}
	for range r.config.Callers {
		<-ended
	}
}

// runFlow runs a flow and records its end. It reports whether the flow was served.
func (r *run) runFlow(ctx context.Context, port uint16, address netip.AddrPort, requests int, pause time.Duration) bool {
	caller := netip.AddrPortFrom(r.address(1, 1), port)
	err := r.callers.runFlow(ctx, port, address, requests, pause)
	if ctx.Err() == nil || err == nil {
		r.checker.flowEnded(caller, err)
	}
	if err != nil && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	return err == nil
}

// checkFinalFlows opens flows after the last fault, which must all be served.
func (r *run) checkFinalFlows(ctx context.Context) {
	failed := 0
	for i := range finalFlows {
		port := uint16(60000 + i)
		served := false
		for try := 0; try < 5 && !served && ctx.Err() == nil; try++ {
			served = r.runFlow(ctx, port+uint16(try*finalFlows), addresses[i%2], 2, 10*time.Millisecond)
		}
		if !served {
			failed++
		}
	}
	if failed > 0 {
		r.checker.addViolation("recover", "%d of %d flows were not served after the last fault", failed, finalFlows)
	}
}

// writeDiary appends a line to the diary. Together with the logs of the hosts it
// shows the course of the run.
func (r *run) writeDiary(format string, args ...any) {
	line := fmt.Sprintf("%.3f s ", time.Since(r.startedAt).Seconds()) + fmt.Sprintf(format, args...)
	if _, err := fmt.Fprintln(r.diary, line); err != nil {
		r.checker.standInFailed("write to the diary: %v", err)
	}
}

func (r *run) randomHost(rng *rand.Rand) *host { return r.hosts[rng.IntN(len(r.hosts))] }

// callAdmin calls the administration interface of the platform stand-in.
func (r *run) callAdmin(method, path, body string) {
	if _, err := r.client.Call(context.Background(), method, r.platformURL+path, nil, []byte(body)); err != nil {
		r.checker.standInFailed("call %s of the platform stand-in: %v", path, err)
	}
}

// writeConfiguration writes a new configuration, which either moves the first
// route to the other service, or removes or adds the third route.
func (r *run) writeConfiguration(rng *rand.Rand) {
	r.version += 1 + rng.IntN(3)
	changed := []int{0, 2}[rng.IntN(2)]
	r.toggled[changed] = !r.toggled[changed]
	assigned := []string{services[0], services[1], services[0]}
	if r.toggled[0] {
		assigned[0] = services[1]
	}
	if r.toggled[2] {
		assigned[2] = ""
	}
	var routes []map[string]any
	for i, service := range assigned {
		if service != "" {
			routes = append(routes, map[string]any{
				"name": fmt.Sprintf("r-%d", i), "host": addresses[i].Addr().String(), "path_prefix": fmt.Sprintf("/%d/", addresses[i].Port()),
				"route_type": "idempotent", "timeout_ms": 1000, "target_latency_ms": 100, "service": service,
			})
		}
	}
	spec, err := json.Marshal(map[string]any{"version": r.version, "routes": routes, "services": configuredServices(), "limits": map[string]any{"idle_timeout_ms": 15000}})
	if err != nil {
		r.checker.standInFailed("encode configuration: %v", err)
		return
	}
	// The new route is allowed from before the write; effectTime starts after it.
	r.checker.update(func(o *observations) { o.recordRoutes(assigned, time.Now()) })
	at := r.writeObject(http.MethodPut, "config", "main", string(spec))
	r.checker.update(func(o *observations) { o.acknowledgeRoutes(at) })
}

// configuredServices returns the services of a configuration.
func configuredServices() []map[string]any {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "warmup_s": coldTime.Seconds(), "warmup_per_s": coldRate})
	}
	return list
}

// recordRoutes records the service of each address that changed. An empty service
// removes the route.
func (o *observations) recordRoutes(assigned []string, at time.Time) {
	for i, service := range assigned {
		changes := o.routes[addresses[i]]
		if len(changes) == 0 || changes[len(changes)-1].service != service {
			o.routes[addresses[i]] = append(changes, routeChange{service, at})
		}
	}
}

// acknowledgeRoutes moves recent route changes to the time at which the platform
// acknowledged them.
func (o *observations) acknowledgeRoutes(at time.Time) {
	for _, changes := range o.routes {
		if last := &changes[len(changes)-1]; last.since.Before(at) && at.Sub(last.since) < recoveryTime {
			last.since = at
		}
	}
}

// addTarget starts a target of a service and registers it with the platform.
func (r *run) addTarget(service string) error {
	t, err := newTarget(r.nextTarget, r.address(2, 1), service, fmt.Sprintf("zone-%d", r.nextTarget%2), r.checker)
	if err != nil {
		return err
	}
	t.cold = r.started
	r.nextTarget++
	r.runTarget(t)
	r.writeObject(http.MethodPost, "servers", t.name, t.registration(stateReady, 1))
	return nil
}

// runTarget starts the duty of a target.
func (r *run) runTarget(t *target) {
	ctx, stop := context.WithCancel(r.group.Context())
	r.group.Go("target "+t.name, func(context.Context) error { return t.run(ctx) })
	r.targets[t.service] = append(r.targets[t.service], &runningTarget{t, stop})
}

// takeOldest removes the longest running target of a random service from the list.
func (r *run) takeOldest(rng *rand.Rand) (string, *runningTarget) {
	service := services[rng.IntN(len(services))]
	old := r.targets[service][0]
	r.targets[service] = r.targets[service][1:]
	return service, old
}

// crashTarget stops a target without deregistering it and starts another one. Its
// registration expires 2.3 s later.
func (r *run) crashTarget(rng *rand.Rand) {
	service, old := r.takeOldest(rng)
	r.checker.update(func(o *observations) { o.stopped[old.target] = true })
	old.stop()
	if err := r.addTarget(service); err != nil {
		r.checker.standInFailed("add target: %v", err)
	}
	time.AfterFunc(2300*time.Millisecond, func() { r.writeObject(http.MethodDelete, "servers", old.target.name, "") })
}

// replaceTarget starts a target and drains the oldest one, which serves for 4 s
// after the platform has acknowledged the drain and then ends.
func (r *run) replaceTarget(rng *rand.Rand) {
	service, old := r.takeOldest(rng)
	if err := r.addTarget(service); err != nil {
		r.checker.standInFailed("add target: %v", err)
	}
	go func() {
		at := r.writeObject(http.MethodPut, "servers", old.target.name, old.target.registration(stateDraining, 2))
		r.checker.update(func(o *observations) { o.draining[old.target] = at })
		time.Sleep(4 * time.Second)
		r.checker.update(func(o *observations) { o.stopped[old.target] = true })
		old.stop()
		r.writeObject(http.MethodDelete, "servers", old.target.name, "")
	}()
}

// evacuate takes a failure domain out of service for new flows. The returned function returns
// it to service. It returns nil if the domain is evacuated already.
func (r *run) evacuate(rng *rand.Rand) func() {
	zone, evacuated := fmt.Sprintf("zone-%d", rng.IntN(2)), false
	r.checker.update(func(o *observations) {
		if _, evacuated = o.evacuated[zone]; !evacuated {
			o.evacuated[zone] = time.Time{}
		}
	})
	if evacuated {
		return nil
	}
	at := r.writeObject(http.MethodPost, "evacuations", zone, "{}")
	r.checker.update(func(o *observations) { o.evacuated[zone] = at })
	return func() {
		r.checker.update(func(o *observations) { o.evacuated[zone] = time.Time{} })
		r.writeObject(http.MethodDelete, "evacuations", zone, "")
		r.checker.update(func(o *observations) { delete(o.evacuated, zone) })
	}
}

// restartTarget stops a target and starts it again under its name. It registers 0 to 1 s
// later, so that flows open at the new process by the registration of the earlier one.
func (r *run) restartTarget(rng *rand.Rand) {
	_, old := r.takeOldest(rng)
	delay := time.Duration(rng.Int64N(int64(time.Second)))
	r.checker.update(func(o *observations) { o.stopped[old.target] = true })
	old.stop()
	again, err := old.target.restart()
	if err != nil {
		r.checker.standInFailed("restart target: %v", err)
		return
	}
	r.runTarget(again)
	time.Sleep(delay)
	r.writeObject(http.MethodPut, "servers", again.name, again.registration(stateReady, 1))
}
