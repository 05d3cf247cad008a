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
	callTimeout = 10 * time.Second
	// retryEvery is how often a call with --wait is repeated until it succeeds.
	retryEvery = 100 * time.Millisecond
)

// CallCommand returns the subcommand that calls an HTTP endpoint on this machine.
func CallCommand() *cli.Command {
	return &cli.Command{
		Name:      "call",
		Usage:     "call an HTTP endpoint on loopback and print the body of the answer",
		ArgsUsage: "URL",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "method", Value: "GET", Usage: "`METHOD` of the call"},
			&cli.StringFlag{Name: "body", Usage: "`TEXT` of the body"},
			&cli.DurationFlag{Name: "wait", Usage: "`TIME` for which the call is repeated until it succeeds"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return pimentospread.At(pimentospread.ErrInvalid.New("call needs one URL"), "settings", "")
			}
			body, err := call(ctx, c)
			if err != nil {
				return err
			}
			if _, err := c.Root().Writer.Write(append(bytes.TrimSpace(body), '\n')); err != nil {
				return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "standard output"), "print", "")
			}
			return nil
		},
	}
}

func call(ctx context.Context, c *cli.Command) ([]byte, error) {
	u, err := url.Parse(c.Args().First())
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "URL"), "settings", "")
	}
	if a, err := netip.ParseAddrPort(u.Host); err != nil || !a.Addr().IsLoopback() {
		return nil, pimentospread.At(pimentospread.ErrInvalid.New("%q is not a loopback address with a port", u.Host), "settings", "")
	}
	client := NewClient(callTimeout)
	return Retry(ctx, c.Duration("wait"), func(ctx context.Context) ([]byte, error) {
		return client.Call(ctx, c.String("method"), u.String(), nil, []byte(c.String("body")))
	})
}

// Retry calls f until it succeeds or the wait is over. A wait of zero calls it once.
func Retry[T any](ctx context.Context, wait time.Duration, f func(context.Context) (T, error)) (T, error) {
	end := time.Now().Add(wait)
	for {
		value, err := f(ctx)
		if err == nil || !time.Now().Before(end) {
			return value, err
		}
		select {
		case <-ctx.Done():
			return value, err
		case <-time.After(retryEvery):
		}
	}
}

// ShowCommand returns the subcommand that prints one field of a JSON file, so
// that a script needs no other program to read the ports of a process.
func ShowCommand() *cli.Command {
	return &cli.Command{
		Name:      "show",
		Usage:     "print one field of a JSON file",
		ArgsUsage: "FILE FIELD",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 2 {
				return pimentospread.At(pimentospread.ErrInvalid.New("show needs a file and a field"), "settings", "")
			}
			data, err := os.ReadFile(c.Args().Get(0))
			if err != nil {
				return pimentospread.At(pimentospread.ErrNotFound.Wrap(err, "file"), "read", "")
			}
			value, err := field(data, c.Args().Get(1))
			if err != nil {
				return err
			}
			if _, err := c.Root().Writer.Write([]byte(value + "\n")); err != nil {
				return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "standard output"), "print", "")
			}
			return nil
		},
	}
}
