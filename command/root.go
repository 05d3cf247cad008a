// Package command implements the command line of pimentospread.
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

// Exit codes of all commands.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailed means a failure without an exit code of its own.
	ExitFailed = 1
	// ExitUsage means wrong arguments.
	ExitUsage = 2
	// ExitInvalid means that a check found faults.
	ExitInvalid = 3
	// ExitConflict means that another change was published first.
	ExitConflict = 4
)

// Build identifies the build of the program.
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
	// Reload receives when the settings must be read again. It may be nil.
	Reload <-chan os.Signal
}

// errUsage is the type of errors for wrong arguments.
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
		Description: "Exit codes: 0 success, 1 failure, 2 wrong arguments, 3 refused by a check, 4 conflict with another change.",
		Commands: []*cli.Command{
			c.serve(), c.apply(), c.check(), c.get(), c.watch(), c.rollback(), c.drain(), c.evacuate(),
			c.status(), c.burn(), c.keys(), c.settings(), c.explain(), c.version(),
		},
	}
	root.OnUsageError = usageError
	for _, sub := range root.Commands {
		sub.OnUsageError = usageError
	}
	return root
}

// usageError converts an error of the command line parser into an errUsage. The
// parser loses the types of errors returned by validators and keeps only their
// text, from which the name of the type is removed.
func usageError(_ context.Context, c *cli.Command, err error, _ bool) error {
	text := strings.ReplaceAll(err.Error(), errUsage.FullName()+": ", "")
	return errUsage.New("%s; see %s --help", text, c.FullName())
}

// ExitCode returns the exit code for the error that a command returned.
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

// commands builds the commands of the tree.
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

	flagAgainst     = "against"
	flagPlatform    = "platform"
	flagTargets     = "targets"
	flagDescriptors = "descriptors"
)

func hostFlag() cli.Flag {
	return &cli.StringFlag{
		Name: flagHost, Value: "http://127.0.0.1:8600", Sources: cli.EnvVars("PIMENTOSPREAD_HOST"),
		Usage: "base URL of the administration API of any host of the cell",
	}
}

// hostFlags returns the flags for the host to call and the keys to use.
func hostFlags() []cli.Flag {
	return []cli.Flag{
		hostFlag(),
		&cli.StringFlag{
			Name: flagAuthority, Sources: cli.EnvVars("PIMENTOSPREAD_AUTHORITY"),
			Usage: "PEM file with the authority of the hosts' certificates; required with an https URL",
		},
		&cli.StringFlag{
			Name: flagCert, Sources: cli.EnvVars("PIMENTOSPREAD_CERTIFICATE"),
			Usage: "PEM file with the client certificate, if the hosts require one",
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

// outputFlag returns the flag for the output format of a command, text by default.
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
		&cli.Uint64Flag{Name: flagGeneration, Usage: "refuse the change unless this generation is in force"},
		&cli.StringFlag{Name: flagBy, Value: "operator", Usage: "name of the publisher, shown to others whose changes conflict with this one"},
	)
}

// client returns a client for the host and keys in the flags. The token is sent over
// TLS only to a host whose certificate is verified with the given authority, so an
// https URL and an authority require each other.
func client(c *cli.Command) (*operator.Client, error) {
	host, authority := c.String(flagHost), c.String(flagAuthority)
	if strings.HasPrefix(host, "https://") != (authority != "") {
		return nil, errUsage.New("an https URL and --%s require each other", flagAuthority)
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
