package fabric

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"github.com/urfave/cli/v3"

	"pimentospread/duty"
	"pimentospread/ring"
	"pimentospread/standin/loopback"
	"pimentospread/standin/owner"
)

// taskCapacity is larger than the number of operators in one demo, each of whom
// waits for at most one task.
const taskCapacity = 16

// probeTimeout is shorter than the probe interval, so that a host that hangs
// counts as not ready after its first probe.
const probeTimeout = 200 * time.Millisecond

// Command returns the subcommand that runs the fabric.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "fabric",
		Usage: "forward the packets of callers and targets to randomly chosen ready hosts",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Value: "127.0.0.1:0", Usage: "loopback `ADDRESS` for VXLAN over UDP"},
			&cli.StringFlag{Name: "admin", Value: "127.0.0.1:0", Usage: "loopback `ADDRESS` of GET /counts and PUT /forget"},
			&cli.StringSliceFlag{Name: "host", Usage: "`DATA,ADMIN` addresses of a host; repeat for each"},
			&cli.StringFlag{Name: "roster", Usage: "`URL` of the Roster object that lists the hosts; replaces --host"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random number generator"},
			&cli.FloatFlag{Name: "loss", Usage: "probability that a packet is lost"},
			&cli.FloatFlag{Name: "duplicate", Usage: "probability that a packet is duplicated"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c, slog.New(slog.NewJSONHandler(c.Root().ErrWriter, nil)))
		},
	}
}

func run(ctx context.Context, c *cli.Command, log *slog.Logger) error {
	hosts, err := parseHosts(c.StringSlice("host"))
	if err != nil {
		return err
	}
	socket, err := loopback.ListenUDP(ctx, c.String("address"))
	if err != nil {
		return err
	}
	counts := &Counts{}
	tasks := owner.New[*Router](taskCapacity)
	admin, err := loopback.ListenHTTP(ctx, c.String("admin"), newAdmin(counts, tasks))
	if err != nil {
		return err
	}
	router := NewRouter(Deps{Seed: c.Uint64("seed"), Loss: c.Float("loss"), Duplicate: c.Float("duplicate"), Counts: counts})
	prober := &readinessProber{
		client: loopback.NewClient(probeTimeout), hosts: hosts, roster: c.String("roster"),
		output: ring.New[Hosts](1, ring.DropOldest),
	}
	group := duty.NewGroup(ctx, log)
	group.Go("packets", socket.ReceiveLoop(forward(router, socket, prober.output, tasks)))
	group.Go("readiness", prober.run)
	group.Go("admin", admin.Serve)
	announcement := struct{ Address, Admin netip.AddrPort }{socket.Address(), admin.Address()}
	if err := loopback.PrintJSON(c.Root().Writer, announcement); err != nil {
		group.Stop()
	}
	return group.Wait()
}

// forward returns the handler of the packets duty, which routes each datagram and
// sends it. The duty blocks on the socket, so the handler takes new host lists and
// tasks before it routes a datagram, at most one at a time.
func forward(router *Router, socket *loopback.Socket, hosts *ring.Ring[Hosts], tasks *owner.Queue[*Router]) func(loopback.Datagram) {
	var destinations []netip.AddrPort
	return func(d loopback.Datagram) {
		select {
		case h := <-hosts.Items():
			router.SetHosts(h)
		case task := <-tasks.Tasks():
			task(router)
		default:
		}
		destinations = router.Route(destinations[:0], d.From, d.Data)
		for _, destination := range destinations {
			// The send fails if a host has just ended, and the packet is lost.
			_ = socket.Send(d.Data, destination)
		}
	}
}

// newAdmin returns the handler of GET /counts, which returns the packet counts,
// and of PUT /forget, which makes the router forget flows.
func newAdmin(counts *Counts, tasks *owner.Queue[*Router]) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /counts", counts)
	mux.HandleFunc("PUT /forget", func(w http.ResponseWriter, r *http.Request) {
		var body struct{ OneIn int }
		if !loopback.ReadJSON(w, r, &body) {
			return
		}
		if body.OneIn < 1 {
			http.Error(w, "OneIn must be at least 1", http.StatusBadRequest)
			return
		}
		forgotten, err := owner.Do(r.Context(), tasks, func(router *Router) int { return router.Forget(body.OneIn) })
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		loopback.WriteJSON(w, http.StatusOK, struct{ Forgotten int }{forgotten})
	})
	return mux
}

// ServeHTTP writes the counts as a JSON object.
func (c *Counts) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	loopback.WriteJSON(w, http.StatusOK, map[string]uint64{
		"FromCallers": c.FromCallers.Load(), "FromTargets": c.FromTargets.Load(), "FromHosts": c.FromHosts.Load(),
		"Lost": c.Lost.Load(), "Duplicated": c.Duplicated.Load(),
		"NoHost": c.NoHost.Load(), "NoCaller": c.NoCaller.Load(), "NotValid": c.NotValid.Load(),
		"Forgotten": c.Forgotten.Load(),
	})
}
