package command

import (
	"context"
	"io"
	"net/url"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"pimentospread"
	"pimentospread/platform"
)

// evacuation is the output of the command evacuate.
type evacuation struct {
	FailureDomain pimentospread.FailureDomain `json:"FailureDomain"`
	Evacuated     bool                        `json:"Evacuated"`
}

func (s commands) evacuate() *cli.Command {
	return &cli.Command{
		Name:      "evacuate",
		Usage:     "send no new flows to the targets of a failure domain; existing ones continue",
		ArgsUsage: "FAILURE-DOMAIN",
		Description: "Hosts with the setting Evacuations follow within 5 s.\n\n" +
			"Example: pimentospread evacuate lk-west-neg --platform http://127.0.0.1:8080",
		Flags: []cli.Flag{
			outputFlag(),
			&cli.StringFlag{Name: flagPlatform, Usage: "base URL of the platform's store", Required: true},
			&cli.BoolFlag{Name: flagUndo, Usage: "return the failure domain to service"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			base, err := url.Parse(c.String(flagPlatform))
			if err != nil || base.Host == "" {
				return errUsage.New("--%s %q is not a URL", flagPlatform, c.String(flagPlatform))
			}
			if c.Args().Len() != 1 || c.Args().First() == "" {
				return errUsage.New("evacuate needs a failure domain")
			}
			result := evacuation{FailureDomain: pimentospread.FailureDomain(c.Args().First()), Evacuated: !c.Bool(flagUndo)}
			if err := setEvacuation(ctx, platform.NewClient(platform.Deps{BaseURL: base}), result); err != nil {
				return err
			}
			return s.print(c, result, func(w io.Writer) {
				text := " returns to service\n"
				if result.Evacuated {
					text = " is evacuated\n"
				}
				_, _ = io.WriteString(w, string(result.FailureDomain)+text)
			})
		},
	}
}

// setEvacuation creates or deletes the object that evacuates the failure domain. It succeeds if
// the object exists already, or does not.
func setEvacuation(ctx context.Context, store pimentospread.ObjectStore, e evacuation) error {
	key := platform.EvacuationKey(e.FailureDomain)
	if e.Evacuated {
		_, err := store.Put(ctx, key, []byte("{}"), 0)
		if errorx.IsOfType(err, pimentospread.ErrConflict) {
			return nil
		}
		return err
	}
	o, err := store.Get(ctx, key)
	if err == nil {
		err = store.Delete(ctx, key, o.Version)
	}
	if errorx.IsOfType(err, pimentospread.ErrNotFound) {
		return nil
	}
	return err
}
