package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"pimentospread/explain"
)

func (s commands) explain() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the history of a request or a flow from the logs of all hosts",
		ArgsUsage: "ID",
		Description: "Reads log lines from standard input. ID is the id of a request, or a flow as written in the logs.\n\n" +
			"Example: cat host-*.log | pimentospread explain 17e99109cc9073ab",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return errUsage.New("explain needs one id; see pimentospread explain --help")
			}
			history, err := explain.BuildTimeline(s.deps.Stdin, c.Args().First())
			if err != nil {
				return err
			}
			return history.Write(s.deps.Stdout)
		},
	}
}
