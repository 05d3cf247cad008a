package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"pimentospread/explain"
)

func (s commands) explain() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print from the logs of all hosts what became of a request or a flow",
		ArgsUsage: "ID",
		Description: "Reads log lines on standard input. ID is a request's id, or a flow as the logs name it.\n\n" +
			"Example: cat host-*.log | pimentospread explain 17e99109cc9073ab",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return errUsage.New("explain needs one id; see pimentospread explain --help")
			}
			story, err := explain.BuildTimeline(s.deps.Stdin, c.Args().First())
			if err != nil {
				return err
			}
			return story.Write(s.deps.Stdout)
		},
	}
}
