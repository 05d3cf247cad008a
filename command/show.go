package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"pimentospread"
	"pimentospread/release"
	"pimentospread/settings"
)

func (s commands) get() *cli.Command {
	return &cli.Command{
		Name:        "get",
		Usage:       "print the objects in force at a host",
		Description: "The JSON output can be edited and passed to apply.\n\nExample: pimentospread get --output json",
		Flags:       append(hostFlags(), outputFlag()),
		Action: func(ctx context.Context, c *cli.Command) error {
			host, err := client(c)
			if err != nil {
				return err
			}
			r, err := host.Release(ctx, 0)
			if err != nil {
				return err
			}
			return s.print(c, r.SourceSet(), func(w io.Writer) { printRelease(w, r) })
		},
	}
}

func (s commands) watch() *cli.Command {
	return &cli.Command{
		Name:        "watch",
		Usage:       "print each new generation when it comes into force at the host",
		Description: "Example: pimentospread watch --after 41",
		Flags:       append(hostFlags(), outputFlag(), &cli.Uint64Flag{Name: flagAfter, Usage: "print only generations after this one"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			host, err := client(c)
			if err != nil {
				return err
			}
			after := pimentospread.Generation(c.Uint64(flagAfter))
			for ctx.Err() == nil {
				r, err := host.Release(ctx, after)
				if isTimeout(err) {
					continue
				}
				if err != nil {
					return err
				}
				after = r.Generation
				line := func(w io.Writer) {
					_, _ = fmt.Fprintf(w, "generation %d by %s at %s\n", r.Generation, r.Publisher, r.PublishedAt)
				}
				if err := s.print(c, r, line); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func (s commands) status() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "show the generation in force at each host",
		Description: "Example: pimentospread status --host http://127.0.0.1:8600",
		Flags:       append(hostFlags(), outputFlag()),
		Action: func(ctx context.Context, c *cli.Command) error {
			host, err := client(c)
			if err != nil {
				return err
			}
			status, err := host.Status(ctx)
			if err != nil {
				return err
			}
			return s.print(c, status, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "HOST\tFAILURE DOMAIN\tALIVE\tREADY\tLEAVING\tPREPARED\tACTIVE\n")
				for _, h := range status.Hosts {
					_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\n", h.Host, h.FailureDomain,
						yesNo(h.Alive), yesNo(h.Ready), yesNo(h.Leaving), h.Prepared, h.Active)
				}
			})
		},
	}
}

func (s commands) settings() *cli.Command {
	return &cli.Command{
		Name:        "settings",
		Usage:       "check and print settings, or print the reference page",
		Description: "Example: pimentospread settings --settings host.json\nExample: pimentospread settings --reference",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagSettings, Usage: "JSON file with the settings; - reads standard input"},
			&cli.BoolFlag{Name: flagReference, Usage: "print the reference page in Markdown"},
			&cli.StringFlag{Name: flagOutput, Value: outputJSON, Usage: "json is the only format", Validator: onlyJSON},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Bool(flagReference) {
				page, err := settings.Reference()
				_, _ = io.WriteString(s.deps.Stdout, page)
				return err
			}
			if c.String(flagSettings) == "" {
				return errUsage.New("settings needs --settings or --reference")
			}
			data, err := s.read(c.String(flagSettings))
			if err != nil {
				return err
			}
			checked, faults, err := settings.Decode(data)
			if err != nil {
				return err
			}
			if len(faults) > 0 {
				printFaults(s.deps.Stderr, faults)
				return pimentospread.ErrInvalid.New("the settings have %d faults", len(faults))
			}
			if checked.AdminToken != "" {
				checked.AdminToken = "(set)"
			}
			e := json.NewEncoder(s.deps.Stdout)
			e.SetIndent("", "  ")
			return e.Encode(checked)
		},
	}
}

// onlyJSON validates the output flag of commands without text output.
func onlyJSON(value string) error {
	if value == outputJSON {
		return nil
	}
	return errUsage.New("output %q is not json", value)
}

func (s commands) version() *cli.Command {
	return &cli.Command{
		Name:        "version",
		Usage:       "print the version",
		Description: "Example: pimentospread version --output json",
		Flags:       []cli.Flag{outputFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			b := s.deps.Build
			return s.print(c, b, func(w io.Writer) { _, _ = fmt.Fprintf(w, "pimentospread %s (%s)\n", b.Version, b.Revision) })
		},
	}
}

func (s commands) serve() *cli.Command {
	return &cli.Command{
		Name:        "serve",
		Usage:       "run an entry host",
		Description: "SIGTERM starts a graceful shutdown. SIGHUP reloads the settings.\n\nExample: pimentospread serve --settings host.json",
		Flags:       []cli.Flag{&cli.StringFlag{Name: flagSettings, Required: true, Usage: "JSON file with the settings; - reads standard input"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return s.deps.Serve(ctx, settings.Source{
				Read:         func() ([]byte, error) { return s.read(c.String(flagSettings)) },
				ReloadSignal: s.deps.Reload,
			})
		},
	}
}

func printRelease(w io.Writer, r *release.Release) {
	_, _ = fmt.Fprintf(w, "generation %d by %s at %s\n", r.Generation, r.Publisher, r.PublishedAt)
	_, _ = fmt.Fprintf(w, "SERVICE\tADDRESSES\tPOOL\tPOLICY\n")
	for _, v := range r.Set.Services {
		_, _ = fmt.Fprintf(w, "%s\t%v\t%s\t%s\n", v.Name, v.Addresses, v.Pool, v.Policy)
	}
	_, _ = fmt.Fprintf(w, "POOL\tTARGET\tFAILURE DOMAIN\tSLOTS\tCONNECTIONS\tSTATE\n")
	for _, p := range r.Set.TargetPools {
		for _, t := range p.Targets {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", p.Name, t.Name, t.FailureDomain, t.Slots, t.Connections, t.State)
		}
	}
}
