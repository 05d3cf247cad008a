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

// questionRoom is above the number of operators of one demo.
const questionRoom = 16

// probeTimeout is below the probe interval, so that a host that hangs counts as not ready at once.
const probeTimeout = 200 * time.Millisecond

// Command returns the subcommand that runs the stand-in.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "fabric",
		Usage: "hand the packets of callers and targets to random ready hosts",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Value: "127.0.0.1:0", Usage: "loopback `ADDRESS` for VXLAN over UDP"},
			&cli.StringFlag{Name: "admin", Value: "127.0.0.1:0", Usage: "loopback `ADDRESS` of GET /counts and PUT /forget"},
			&cli.StringSliceFlag{Name: "host", Usage: "`DATA,ADMIN` addresses of a host; repeat for each"},
			&cli.StringFlag{Name: "roster", Usage: "`URL` of the Roster object, instead of --host"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random choice"},
			&cli.FloatFlag{Name: "loss", Usage: "probability that a packet is lost"},
			&cli.FloatFlag{Name: "duplicate", Usage: "probability that a packet is doubled"},
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
	questions := owner.New[*Router](questionRoom)
	admin, err := loopback.ListenHTTP(ctx, c.String("admin"), newAdmin(counts, questions))
	if err != nil {
		return err
	}
	spray := NewRouter(Deps{Seed: c.Uint64("seed"), Loss: c.Float("loss"), Duplicate: c.Float("duplicate"), Counts: counts})
	probes := &readiness{
		client: loopback.NewClient(probeTimeout), hosts: hosts, roster: c.String("roster"),
		output: ring.New[Hosts](1, ring.DropOldest),
	}
	g := duty.NewGroup(ctx, log)
	g.Go("packets", socket.ReceiveLoop(forward(spray, socket, probes.output, questions)))
	g.Go("readiness", probes.run)
	g.Go("admin", admin.Serve)
	announcement := struct{ Address, Admin netip.AddrPort }{socket.Address(), admin.Address()}
	if err := loopback.PrintJSON(c.Root().Writer, announcement); err != nil {
		g.Stop()
	}
	return g.Wait()
}

// forward answers questions between two packets, because the duty waits on the socket.
func forward(spray *Router, socket *loopback.Socket, hosts *ring.Ring[Hosts], questions *owner.Queue[*Router]) func(loopback.Datagram) {
	var to []netip.AddrPort
	return func(r loopback.Datagram) {
		select {
		case h := <-hosts.Items():
			spray.SetHosts(h)
		case f := <-questions.Tasks():
			f(spray)
		default:
		}
		to = spray.Route(to[:0], r.From, r.Data)
		for _, a := range to {
			// A host that has just ended refuses; the packet is lost, as in any network.
			_ = socket.Send(r.Data, a)
		}
	}
}

// newAdmin returns the counts and the switches of the stand-in.
func newAdmin(counts *Counts, questions *owner.Queue[*Router]) http.Handler {
	m := http.NewServeMux()
	m.Handle("GET /counts", counts)
	m.HandleFunc("PUT /forget", func(w http.ResponseWriter, r *http.Request) {
		var q struct{ OneIn int }
		if !loopback.ReadJSON(w, r, &q) {
			return
		}
		if q.OneIn < 1 {
			http.Error(w, "OneIn must be at least 1", http.StatusBadRequest)
			return
		}
		n, err := owner.Do(r.Context(), questions, func(s *Router) int { return s.Forget(q.OneIn) })
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		loopback.WriteJSON(w, http.StatusOK, struct{ Forgotten int }{n})
	})
	return m
}

// ServeHTTP answers with the counts.
func (c *Counts) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	loopback.WriteJSON(w, http.StatusOK, map[string]uint64{
		"FromCallers": c.FromCallers.Load(), "FromTargets": c.FromTargets.Load(), "FromHosts": c.FromHosts.Load(),
		"Lost": c.Lost.Load(), "Duplicated": c.Duplicated.Load(),
		"NoHost": c.NoHost.Load(), "NoCaller": c.NoCaller.Load(), "NotValid": c.NotValid.Load(),
		"Forgotten": c.Forgotten.Load(),
	})
}
