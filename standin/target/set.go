package target

import (
	"context"
	"encoding/json"
	"os"

	"github.com/urfave/cli/v3"

	"pimentospread"
	"pimentospread/pool"
	"pimentospread/release"
	"pimentospread/standin/loopback"
)

// SetCommand returns the subcommand that puts the addresses of running
// targets into an object set, because their ports are chosen by the kernel.
func SetCommand() *cli.Command {
	return &cli.Command{
		Name:  "set",
		Usage: "print an object set with the addresses of running targets",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "set", Required: true, Usage: "`FILE` with the object set"},
			&cli.StringSliceFlag{Name: "targets", Required: true, Usage: "`FILE` with the line that a target process printed"},
		},
		Action: func(_ context.Context, c *cli.Command) error { return printSet(c) },
	}
}

func printSet(c *cli.Command) error {
	data, err := os.ReadFile(c.String("set"))
	if err != nil {
		return pimentospread.At(pimentospread.ErrNotFound.Wrap(err, "object set"), "read", "")
	}
	s, err := release.DecodeSet(data)
	if err != nil {
		return err
	}
	var running []pool.Target
	for _, name := range c.StringSlice("targets") {
		line, err := os.ReadFile(name)
		if err != nil {
			return pimentospread.At(pimentospread.ErrNotFound.Wrap(err, "targets"), "read", "")
		}
		var a Announcement
		if err := json.Unmarshal(line, &a); err != nil {
			return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "targets %q", name), "decode", "")
		}
		running = append(running, a.Targets...)
	}
	if err := Readdress(&s, running); err != nil {
		return err
	}
	return loopback.Announce(c.Root().Writer, s)
}

// Readdress gives the targets of a set the addresses of the running targets of
// the same names. Every target of the set has to run.
func Readdress(s *release.Set, running []pool.Target) error {
	byName := map[pimentospread.TargetName]pool.Target{}
	for _, t := range running {
		byName[t.Name] = t
	}
	for i := range s.TargetPools {
		for j := range s.TargetPools[i].Targets {
			t := &s.TargetPools[i].Targets[j]
			r, ok := byName[t.Name]
			if !ok {
				return pimentospread.At(pimentospread.ErrNotFound.New("target %q does not run", t.Name), "set", "")
			}
			t.FlowAddress, t.RequestAddress, t.HealthAddress = r.FlowAddress, r.RequestAddress, r.HealthAddress
		}
	}
	return nil
}
