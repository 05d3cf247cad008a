package relay

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"

	"github.com/urfave/cli/v3"

	"pimentospread"
	"pimentospread/duty"
	"pimentospread/member"
	"pimentospread/standin/loopback"
)

// Command returns the subcommand that runs the stand-in.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "relay",
		Usage: "relay the connections between hosts, and isolate a failure domain on request",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "count", Value: 8, Usage: "number of hosts"},
			&cli.StringFlag{Name: "admin", Value: "127.0.0.1:0", Usage: "loopback `ADDRESS` that serves PUT /roster and PUT /cut"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c, slog.New(slog.NewJSONHandler(c.Root().ErrWriter, nil)))
		},
	}
}

func run(ctx context.Context, c *cli.Command, log *slog.Logger) error {
	r, err := New(ctx, c.Int("count"))
	if err != nil {
		return err
	}
	admin, err := loopback.ListenHTTP(ctx, c.String("admin"), r.handler())
	if err != nil {
		return err
	}
	g := duty.NewGroup(ctx, log)
	r.Start(g)
	g.Go("admin", admin.Serve)
	if err := loopback.PrintJSON(c.Root().Writer, struct{ Admin netip.AddrPort }{admin.Address()}); err != nil {
		g.Stop()
	}
	return g.Wait()
}

// handler returns the administration interface of the stand-in.
func (r *Relay) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("PUT /roster", func(w http.ResponseWriter, q *http.Request) {
		var hosts member.Roster
		if !loopback.ReadJSON(w, q, &hosts) {
			return
		}
		relayed, err := r.SetRoster(hosts)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		loopback.WriteJSON(w, http.StatusOK, relayed)
	})
	m.HandleFunc("PUT /cut", func(w http.ResponseWriter, q *http.Request) {
		var cut struct{ FailureDomain pimentospread.FailureDomain }
		if !loopback.ReadJSON(w, q, &cut) {
			return
		}
		r.Isolate(cut.FailureDomain)
		loopback.WriteJSON(w, http.StatusOK, struct{ Lost uint64 }{r.Lost.Load()})
	})
	return m
}
