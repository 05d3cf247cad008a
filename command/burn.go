package command

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"pimentospread/operator"
)

func (s commands) burn() *cli.Command {
	return &cli.Command{
		Name:  "burn",
		Usage: "report the service-level burn over all hosts of the cell",
		Flags: []cli.Flag{hostFlag(), outputFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			_, err := client(c).Burn(ctx)
			return err
		},
	}
}

func isTimeout(err error) bool {
	var p operator.Problem
	return errors.As(err, &p) && p.Kind == "timeout"
}
