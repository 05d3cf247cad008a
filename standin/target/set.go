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

// SetCommand returns the subcommand that sets the addresses of running targets in
// an object set. They are not known in advance, because the kernel chooses the ports.
func SetCommand() *cli.Command {
	return &cli.Command{
		Name:  "set",
		Usage: "print an object set with the addresses of running targets",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "set", Required: true, Usage: "`FILE` with the object set"},
			&cli.StringSliceFlag{Name: "targets", Required: true, Usage: "`FILE` with the line that a target process printed when it was ready"},
		},
		Action: func(_ context.Context, c *cli.Command) error { return printSet(c) },
	}
}

func printSet(c *cli.Command) error {
	data, err := os.ReadFile(c.String("set"))
	if err != nil {
		return pimentospread.At(pimentospread.ErrNotFound.Wrap(err, "object set cannot be read"), "read", "")
	}
	s, err := release.DecodeSet(data)
	if err != nil {
		return err
	}
	var running []pool.Target
	for _, name := range c.StringSlice("targets") {
		line, err := os.ReadFile(name)
		if err != nil {
			return pimentospread.At(pimentospread.ErrNotFound.Wrap(err, "line of a target process cannot be read"), "read", "")
		}
		var a Announcement
		if err := json.Unmarshal(line, &a); err != nil {
			return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "line of a target process in %q cannot be decoded", name), "decode", "")
		}
		running = append(running, a.Targets...)
	}
	if err := AssignAddresses(&s, running); err != nil {
		return err
	}
	return loopback.PrintJSON(c.Root().Writer, s)
}

// AssignAddresses sets the addresses of the targets in a set to those of the
// running targets with the same names. Every target of the set must be running.
func AssignAddresses(s *release.Set, running []pool.Target) error {
	byName := map[pimentospread.TargetName]pool.Target{}
	for _, t := range running {
		byName[t.Name] = t
	}
	for i := range s.TargetPools {
		for j := range s.TargetPools[i].Targets {
			t := &s.TargetPools[i].Targets[j]
			r, ok := byName[t.Name]
			if !ok {
				return pimentospread.At(pimentospread.ErrNotFound.New("target %q of the object set is not running", t.Name), "set", "")
			}
			t.FlowAddress, t.RequestAddress, t.HealthAddress = r.FlowAddress, r.RequestAddress, r.HealthAddress
		}
	}
	return nil
}
