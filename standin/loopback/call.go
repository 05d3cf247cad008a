package loopback

import (
	"bytes"
	"context"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"pimentospread"
)

const (
	// callTimeout is the time after which a single call fails.
	callTimeout = 10 * time.Second
	// retryInterval is the time between two attempts of Retry.
	retryInterval = 100 * time.Millisecond
)

// CallCommand returns the subcommand that calls an HTTP endpoint on loopback.
func CallCommand() *cli.Command {
	return &cli.Command{
		Name:      "call",
		Usage:     "call an HTTP endpoint on loopback and print the body of the response",
		ArgsUsage: "URL",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "method", Value: "GET", Usage: "HTTP `METHOD` of the request"},
			&cli.StringFlag{Name: "body", Usage: "`TEXT` of the request body"},
			&cli.DurationFlag{Name: "wait", Usage: "`TIME` for which a failed call is repeated"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return pimentospread.At(pimentospread.ErrInvalid.New("call needs exactly one URL"), "settings", "")
			}
			body, err := call(ctx, c)
			if err != nil {
				return err
			}
			if _, err := c.Root().Writer.Write(append(bytes.TrimSpace(body), '\n')); err != nil {
				return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "cannot write to standard output"), "print", "")
			}
			return nil
		},
	}
}

// call sends the request of the command line and returns the response body. It
// refuses every URL that is not on loopback.
func call(ctx context.Context, c *cli.Command) ([]byte, error) {
	target, err := url.Parse(c.Args().First())
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "URL is not valid"), "settings", "")
	}
	if address, err := netip.ParseAddrPort(target.Host); err != nil || !address.Addr().IsLoopback() {
		return nil, pimentospread.At(pimentospread.ErrInvalid.New("%q is not a loopback address with a port", target.Host), "settings", "")
	}
	client := NewClient(callTimeout)
	return Retry(ctx, c.Duration("wait"), func(ctx context.Context) ([]byte, error) {
		return client.Call(ctx, c.String("method"), target.String(), nil, []byte(c.String("body")))
	})
}

// Retry calls f until it succeeds, the wait is over or the context ends, and
// returns the last result. It calls f at least once, and only once if wait is zero.
func Retry[T any](ctx context.Context, wait time.Duration, f func(context.Context) (T, error)) (T, error) {
	deadline := time.Now().Add(wait)
	for {
		value, err := f(ctx)
		if err == nil || !time.Now().Before(deadline) {
			return value, err
		}
		select {
		case <-ctx.Done():
			return value, err
		case <-time.After(retryInterval):
		}
	}
}

// ShowCommand returns the subcommand that prints one field of a JSON file. Scripts
// use it to read the ports of a process without another program.
func ShowCommand() *cli.Command {
	return &cli.Command{
		Name:      "show",
		Usage:     "print one field of a JSON file",
		ArgsUsage: "FILE FIELD",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 2 {
				return pimentospread.At(pimentospread.ErrInvalid.New("show needs exactly one file and one field"), "settings", "")
			}
			data, err := os.ReadFile(c.Args().Get(0))
			if err != nil {
				return pimentospread.At(pimentospread.ErrNotFound.Wrap(err, "JSON file cannot be read"), "read", "")
			}
			value, err := fieldAt(data, c.Args().Get(1))
			if err != nil {
				return err
			}
			if _, err := c.Root().Writer.Write([]byte(value + "\n")); err != nil {
				return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "cannot write to standard output"), "print", "")
			}
			return nil
		},
	}
}
