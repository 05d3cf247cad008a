// Package command is the command line of pimentospread.
package command

import (
	"context"
	"errors"
	"io"
	"os"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"pimentospread"
	"pimentospread/keys"
	"pimentospread/operator"
	"pimentospread/settings"
)

// Exit codes of every command.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitInvalid  = 3
	ExitConflict = 4
)

// Build is what the linker and the module tell of the program.
type Build struct {
	Version  string `json:"Version"`
	Revision string `json:"Revision"`
}

// Deps are the dependencies of the command tree.
type Deps struct {
	Build  Build
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Serve runs an entry host until the context ends.
	Serve func(ctx context.Context, source settings.Source) error
	// Reload receives when the settings are to be read again. It may be nil.
	Reload <-chan os.Signal
}

// errUsage marks an error in the use of the command line.
var errUsage = pimentospread.Namespace.NewType("usage")

// New returns the command tree.
func New(deps Deps) *cli.Command {
	c := commands{deps: deps}
	root := &cli.Command{
		Name:                  "pimentospread",
		Usage:                 "layer-4 load balancer",
		EnableShellCompletion: true,
		Writer:                deps.Stdout,
		ErrWriter:             deps.Stderr,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return errUsage.New("command %q does not exist; see pimentospread --help", c.Args().First())
			}
			return cli.ShowRootCommandHelp(c)
		},
		Description: "Exit codes: 0 done, 1 failed, 2 wrong use, 3 refused by a check, 4 lost a race.",
		Commands: []*cli.Command{
			c.serve(), c.apply(), c.check(), c.get(), c.watch(), c.rollback(), c.drain(),
			c.status(), c.burn(), c.keys(), c.settings(), c.explain(), c.version(),
		},
	}
	root.OnUsageError = usageError
	for _, sub := range root.Commands {
		sub.OnUsageError = usageError
	}
	return root
}

// usageError marks what the command line parser finds. The parser drops the
// types of the errors that validators return, so their text is kept alone.
func usageError(_ context.Context, c *cli.Command, err error, _ bool) error {
	text := strings.ReplaceAll(err.Error(), errUsage.FullName()+": ", "")
	return errUsage.New("%s; see %s --help", text, c.FullName())
}

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	var problem operator.Problem
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &problem) && problem.Kind == "invalid", errorx.IsOfType(err, pimentospread.ErrInvalid):
		return ExitInvalid
	case errors.As(err, &problem) && problem.Kind == "conflict":
		return ExitConflict
	case errorx.IsOfType(err, errUsage):
		return ExitUsage
	default:
		return ExitFailed
	}
}

type commands struct {
	deps Deps
}

const (
	flagHost       = "host"
	flagToken      = "token"
	flagOutput     = "output"
	flagFile       = "file"
	flagSettings   = "settings"
	flagReplace    = "replace"
	flagGeneration = "if-generation"
	flagBy         = "by"
	flagUndo       = "undo"
	flagReference  = "reference"
	flagAfter      = "after"
	flagAuthority  = "authority"
	flagCert       = "certificate"
	flagKey        = "key"
)

func hostFlag() cli.Flag {
	return &cli.StringFlag{
		Name: flagHost, Value: "http://127.0.0.1:8600", Sources: cli.EnvVars("PIMENTOSPREAD_HOST"),
		Usage: "base URL of the administration API of any host of the cell",
	}
}

// hostFlags say which host a command calls, and with which keys.
func hostFlags() []cli.Flag {
	return []cli.Flag{
		hostFlag(),
		&cli.StringFlag{
			Name: flagAuthority, Sources: cli.EnvVars("PIMENTOSPREAD_AUTHORITY"),
			Usage: "PEM file with the authority of the hosts' certificates; needs an https URL",
		},
		&cli.StringFlag{
			Name: flagCert, Sources: cli.EnvVars("PIMENTOSPREAD_CERTIFICATE"),
			Usage: "PEM file with the certificate to show, where hosts ask for one",
		},
		&cli.StringFlag{
			Name: flagKey, Sources: cli.EnvVars("PIMENTOSPREAD_KEY"), Usage: "PEM file with the private key of the certificate",
		},
	}
}

func tokenFlag() cli.Flag {
	return &cli.StringFlag{
		Name: flagToken, Sources: cli.EnvVars("PIMENTOSPREAD_TOKEN"), Usage: "administration token",
	}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name: flagOutput, Value: outputText, Usage: "text or json",
		Validator: func(value string) error {
			if value == outputText || value == outputJSON {
				return nil
			}
			return errUsage.New("output %q is neither text nor json", value)
		},
	}
}

func fileFlag(usage string) cli.Flag {
	return &cli.StringFlag{Name: flagFile, Aliases: []string{"f"}, Required: true, Usage: usage + "; - reads standard input"}
}

func changeFlags() []cli.Flag {
	return append(hostFlags(), tokenFlag(), outputFlag(),
		&cli.Uint64Flag{Name: flagGeneration, Usage: "refuse unless this generation is in force"},
		&cli.StringFlag{Name: flagBy, Value: "operator", Usage: "name shown to those who lose a race against this change"},
	)
}

// client returns the client that the flags describe. The token goes over TLS
// only when an authority is named, so an https URL without one is refused.
func client(c *cli.Command) (*operator.Client, error) {
	host, authority := c.String(flagHost), c.String(flagAuthority)
	if strings.HasPrefix(host, "https://") != (authority != "") {
		return nil, errUsage.New("an https URL and --%s go together", flagAuthority)
	}
	if authority == "" {
		return operator.NewClient(host, c.String(flagToken)), nil
	}
	config, err := keys.AdminClient(keys.Files{
		CertificatePath: c.String(flagCert), KeyPath: c.String(flagKey), AuthorityPath: authority,
	})
	if err != nil {
		return nil, err
	}
	return operator.NewSecureClient(host, c.String(flagToken), config), nil
}
