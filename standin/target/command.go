package target

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"github.com/urfave/cli/v3"

	"pimentospread"
	"pimentospread/duty"
	"pimentospread/pool"
	"pimentospread/standin/loopback"
)

const maxTargets = 64

// Command returns the subcommand that runs the stand-in.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "run targets of one service",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Required: true, Usage: "`NAME` of the service"},
			&cli.StringFlag{Name: "release", Required: true, Usage: "`URL` of the published Release object"},
			&cli.StringFlag{Name: "fabric", Required: true, Usage: "`ADDRESS` of the fabric"},
			&cli.StringFlag{Name: "admin", Value: "127.0.0.1:0", Usage: "loopback `ADDRESS` of the administration endpoint"},
			&cli.IntFlag{Name: "count", Value: 1, Usage: "number of targets"},
			&cli.Uint32Flag{Name: "slots", Value: 2, Usage: "requests that a target runs at the same time"},
			&cli.Uint32Flag{Name: "connections", Value: 2000, Usage: "maximum number of open flows of a target"},
			&cli.StringSliceFlag{Name: "domain", Value: []string{"local"}, Usage: "failure `DOMAIN`s, assigned to the targets in turn"},
			&cli.DurationFlag{Name: "service-time", Value: 20 * time.Millisecond, Usage: "time that a request takes"},
			&cli.DurationFlag{Name: "interval", Value: 2 * time.Second, Usage: "time between two updates on a flow"},
			&cli.DurationFlag{Name: "grace", Value: 3 * time.Second, Usage: "time after the start of a drain from which new work counts as late"},
			&cli.IntFlag{Name: "answer-size", Value: 2500, Usage: "length of an answer in bytes"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c, slog.New(slog.NewJSONHandler(c.Root().ErrWriter, nil)))
		},
	}
}

func parseOptions(c *cli.Command) (Options, error) {
	fabric, err := netip.ParseAddrPort(c.String("fabric"))
	if err != nil {
		return Options{}, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "--fabric is not an address with a port"), "settings", "")
	}
	if n := c.Int("count"); n < 1 || n > maxTargets {
		return Options{}, pimentospread.At(pimentospread.ErrInvalid.New("--count must be between 1 and %d, is %d", maxTargets, n), "settings", "")
	}
	if c.Duration("interval") <= 0 || c.Duration("service-time") <= 0 || c.Int("answer-size") < 0 || len(c.StringSlice("domain")) == 0 {
		return Options{}, pimentospread.At(pimentospread.ErrInvalid.New("--interval and --service-time must be above zero, --answer-size must not be negative, and --domain must be given"), "settings", "")
	}
	return Options{
		Service: pimentospread.ServiceName(c.String("service")), Fabric: fabric,
		Slots: pimentospread.Slots(c.Uint32("slots")), Connections: pimentospread.Connections(c.Uint32("connections")),
		ServiceTime: c.Duration("service-time"), Interval: c.Duration("interval"),
		AnswerSize: c.Int("answer-size"), Grace: c.Duration("grace"),
	}, nil
}

// Announcement is printed as a line of JSON when the process is ready.
type Announcement struct {
	Admin   netip.AddrPort
	Targets []pool.Target
}

func run(ctx context.Context, c *cli.Command, log *slog.Logger) error {
	o, err := parseOptions(c)
	if err != nil {
		return err
	}
	g := duty.NewGroup(ctx, log)
	defer g.Stop()
	domains := c.StringSlice("domain")
	var targets []*Target
	var a Announcement
	for i := range c.Int("count") {
		name := pimentospread.TargetName(fmt.Sprintf("%s-%02d", o.Service, i+1))
		t, err := NewTarget(ctx, name, pimentospread.FailureDomain(domains[i%len(domains)]), o)
		if err != nil {
			return err
		}
		targets = append(targets, t)
		a.Targets = append(a.Targets, t.Describe())
	}
	server, err := loopback.ListenHTTP(ctx, c.String("admin"), newAdmin(targets))
	if err != nil {
		return err
	}
	for _, t := range targets {
		t.Start(g)
	}
	r := &releaseReader{client: loopback.NewClient(time.Second), url: c.String("release"), service: o.Service, targets: targets}
	g.Go("registry", r.run)
	g.Go("admin", server.Serve)
	a.Admin = server.Address()
	if err := loopback.PrintJSON(c.Root().Writer, a); err != nil {
		return err
	}
	return g.Wait()
}
