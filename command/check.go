package command

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strings"

	"github.com/urfave/cli/v3"

	"pimentospread"
	"pimentospread/configcheck"
	"pimentospread/platform"
	"pimentospread/release"
)

func (s commands) check() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check a set of objects, or a configuration of the platform, without publishing it",
		Description: "All faults are listed with their paths. Warnings alone exit with 0.\n\n" +
			"Example: pimentospread check --file examples/office.json\n" +
			"Example: pimentospread check --file new.json --platform http://127.0.0.1:8080 --targets servers.json",
		Flags: []cli.Flag{
			fileFlag("JSON file with the objects or the configuration"), outputFlag(),
			&cli.StringFlag{Name: flagAgainst, Usage: "JSON file with the configuration in force, to show the differences"},
			&cli.StringFlag{Name: flagPlatform, Usage: "base URL of the platform's store, to read the configuration in force from"},
			&cli.StringFlag{Name: flagTargets, Usage: "JSON file with the list of targets, as the platform's store returns it"},
			&cli.Uint64Flag{Name: flagDescriptors, Usage: "number of file descriptors of a host"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			data, err := s.read(c.String(flagFile))
			if err != nil {
				return err
			}
			if value, ok := platform.HoldsConfiguration(data); ok {
				return s.checkConfiguration(ctx, c, value)
			}
			for _, flag := range []string{flagAgainst, flagPlatform, flagTargets, flagDescriptors} {
				if c.IsSet(flag) {
					return errUsage.New("--%s needs a configuration of the platform in --%s", flag, flagFile)
				}
			}
			return s.checkSet(c, data)
		},
	}
}

// checkSet checks a set of objects.
func (s commands) checkSet(c *cli.Command, data []byte) error {
	faults, err := release.CheckSet(data)
	if err != nil {
		return err
	}
	if faults == nil {
		faults = []pimentospread.Fault{} // JSON output is always a list
	}
	if err := s.print(c, faults, func(w io.Writer) { printFaults(w, faults) }); err != nil {
		return err
	}
	if len(faults) > 0 {
		return pimentospread.ErrInvalid.New("the set has %d faults", len(faults))
	}
	return nil
}

// checkConfiguration checks a configuration of the platform.
func (s commands) checkConfiguration(ctx context.Context, c *cli.Command, value []byte) error {
	draft, err := platform.DecodeDraft(value)
	if err != nil {
		return err
	}
	in := configcheck.Input{Draft: draft, Descriptors: configcheck.Descriptors(c.Uint64(flagDescriptors))}
	if in.Targets, err = s.targets(c.String(flagTargets)); err != nil {
		return err
	}
	if in.InForce, err = s.configurationInForce(ctx, c.String(flagAgainst), c.String(flagPlatform)); err != nil {
		return err
	}
	report := configcheck.Check(in)
	if err := s.print(c, report, func(w io.Writer) { printReport(w, report) }); err != nil {
		return err
	}
	if n := report.Errors(); n > 0 {
		return pimentospread.ErrInvalid.New("the configuration has %d errors", n)
	}
	return nil
}

// targets reads the list of targets. It returns nil if there is no path.
func (s commands) targets(path string) (*configcheck.Targets, error) {
	if path == "" {
		return nil, nil
	}
	data, err := s.read(path)
	if err != nil {
		return nil, err
	}
	t, err := platform.DecodeTargets(data)
	if err != nil {
		return nil, errUsage.New("--%s: %s", flagTargets, pimentospread.MessageOf(err))
	}
	return &t, nil
}

// configurationInForce reads the configuration in force from a file or from the platform. It
// returns nil if neither is given.
func (s commands) configurationInForce(ctx context.Context, path, address string) (*configcheck.Draft, error) {
	switch {
	case path != "" && address != "":
		return nil, errUsage.New("--%s and --%s exclude each other", flagAgainst, flagPlatform)
	case address != "":
		return configurationAtPlatform(ctx, address)
	case path == "":
		return nil, nil
	}
	data, err := s.read(path)
	if err != nil {
		return nil, err
	}
	value, ok := platform.HoldsConfiguration(data)
	if !ok {
		return nil, errUsage.New("--%s: the file holds no configuration of the platform", flagAgainst)
	}
	draft, err := platform.DecodeDraft(value)
	if err != nil {
		return nil, errUsage.New("--%s: %s", flagAgainst, pimentospread.MessageOf(err))
	}
	return &draft, nil
}

// configurationAtPlatform reads the configuration in force from the store. No error of it is
// an ErrInvalid, whose exit code means that the checked file was refused.
func configurationAtPlatform(ctx context.Context, address string) (*configcheck.Draft, error) {
	base, err := url.Parse(address)
	if err != nil || base.Host == "" {
		return nil, errUsage.New("--%s %q is not a URL", flagPlatform, address)
	}
	o, err := platform.NewClient(platform.Deps{BaseURL: base}).Get(ctx, platform.ConfigurationKey)
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "configuration in force cannot be read"), "get configuration", base.Host)
	}
	value, ok := platform.HoldsConfiguration(o.Value)
	if !ok {
		return nil, pimentospread.At(pimentospread.ErrUnavailable.New("%s %q of the platform holds no configuration", o.Kind, o.Name), "get configuration", base.Host)
	}
	draft, err := platform.DecodeDraft(value)
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "configuration in force cannot be decoded"), "get configuration", base.Host)
	}
	return &draft, nil
}

func printReport(w io.Writer, r configcheck.Report) {
	for _, f := range r.Findings {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", f.Severity, f.Kind, f)
	}
	if r.InForce != 0 || len(r.Differences) > 0 {
		_, _ = fmt.Fprintf(w, "Differences between version %d in force and version %d: %d\n", r.InForce, r.Version, len(r.Differences))
	}
	for _, d := range r.Differences {
		printDifference(w, d)
	}
	for _, o := range r.NotChecked {
		_, _ = fmt.Fprintf(w, "not checked: %s: %s\n", o.Subject, o.Reason)
	}
}

func printDifference(w io.Writer, d configcheck.Difference) {
	name := ""
	if d.Name != "" {
		name = fmt.Sprintf(" %q", d.Name)
	}
	_, _ = fmt.Fprintf(w, "%s%s %s: %s\n", d.Entry, name, strings.ToLower(string(d.Change)), d.Effect)
	for _, f := range d.Fields {
		_, _ = fmt.Fprintf(w, "  %s: %s -> %s\n", f.Field, f.From, f.To)
	}
}
