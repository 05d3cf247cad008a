package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"pimentospread"
	"pimentospread/member"
	"pimentospread/operator"
	"pimentospread/slo"
)

// burnTimeout limits the wait for one host, so that a host that does not answer
// is reported as missing and does not delay the report.
const burnTimeout = 2 * time.Second

func (s commands) burn() *cli.Command {
	return &cli.Command{
		Name:  "burn",
		Usage: "report the error budget burn rates over all hosts of the cell",
		Description: "A burn rate of 1 uses up exactly the error budget of a window by its end.\n" +
			"Hosts that do not answer are listed.\n\nExample: pimentospread burn --output html > burn.html",
		Flags: append(hostFlags(), &cli.StringFlag{
			Name: flagOutput, Value: outputText, Usage: "text, json or html",
			Validator: func(value string) error {
				if value == outputText || value == outputJSON || value == outputHTML {
					return nil
				}
				return errUsage.New("output %q is not one of text, json and html", value)
			},
		}),
		Action: func(ctx context.Context, c *cli.Command) error {
			host, err := client(c)
			if err != nil {
				return err
			}
			report, err := s.gatherBurn(ctx, host)
			if err != nil {
				return err
			}
			write := map[string]func(io.Writer) error{
				outputText: report.WriteTable, outputJSON: report.WriteJSON, outputHTML: report.WriteHTML,
			}
			return write[c.String(flagOutput)](s.deps.Stdout)
		},
	}
}

// gatherBurn requests the report of each host of the cell, one after the other.
// The reason why a host is missing is written to stderr, so that stdout contains
// only the report.
func (s commands) gatherBurn(ctx context.Context, first *operator.Client) (slo.Report, error) {
	status, err := first.Status(ctx)
	if err != nil {
		return slo.Report{}, err
	}
	var hosts []pimentospread.HostID
	var reports []slo.HostReport
	for _, h := range status.Hosts {
		hosts = append(hosts, h.Host)
		r, err := hostBurn(ctx, first, h)
		if err != nil {
			_, _ = fmt.Fprintf(s.deps.Stderr, "host %s did not answer: %s\n", h.Host, pimentospread.Text(err))
			continue
		}
		reports = append(reports, r)
	}
	return slo.Merge(hosts, reports), nil
}

// hostBurn requests the report of one host and checks that it is from that host.
func hostBurn(ctx context.Context, first *operator.Client, h member.HostStatus) (slo.HostReport, error) {
	ctx, cancel := context.WithTimeout(ctx, burnTimeout)
	defer cancel()
	r, err := first.ForAddress(h.AdminAddress).Burn(ctx)
	if err != nil {
		return r, err
	}
	if r.Host != h.Host {
		err := pimentospread.ErrInvalid.New("the report is of host %q", r.Host)
		return r, pimentospread.At(err, "check burn", h.AdminAddress.String())
	}
	return r, nil
}

// isTimeout reports whether the API reported a timeout.
func isTimeout(err error) bool {
	var p operator.Problem
	return errors.As(err, &p) && p.Kind == "timeout"
}
