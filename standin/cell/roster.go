package cell

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"pimentospread"
	"pimentospread/member"
	"pimentospread/standin/loopback"
)

// RosterCommand returns the subcommand that does what a platform does for its
// hosts: it notes which hosts run, and where.
func RosterCommand() *cli.Command {
	return &cli.Command{
		Name:  "roster",
		Usage: "read the addresses of hosts from their logs, and put the roster into the platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "cell", Required: true, Usage: "`NAME` of the cell"},
			&cli.StringFlag{Name: "platform", Required: true, Usage: "`URL` of the platform"},
			&cli.StringSliceFlag{Name: "log", Required: true, Usage: "`FILE` with the log of a host; repeat for each"},
			&cli.StringFlag{Name: "relay", Usage: "`URL` of the relay in front of the hosts; peers dial it when it is set"},
			&cli.DurationFlag{Name: "wait", Value: 20 * time.Second, Usage: "`TIME` in which all hosts have to start"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	var r member.Roster
	for _, name := range c.StringSlice("log") {
		h, err := loopback.Retry(ctx, c.Duration("wait"), func(context.Context) (member.Host, error) { return started(name) })
		if err != nil {
			return err
		}
		r.Hosts = append(r.Hosts, h)
	}
	if url := c.String("relay"); url != "" {
		front, err := behind(ctx, url, r)
		if err != nil {
			return err
		}
		r = front
	}
	value, err := json.Marshal(r)
	if err != nil {
		return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "roster cannot be encoded"), "roster", "")
	}
	key := pimentospread.ObjectKey{Kind: pimentospread.KindRoster, Name: c.String("cell")}
	body, err := json.Marshal(pimentospread.Object{ObjectKey: key, Value: value})
	if err != nil {
		return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "roster cannot be encoded"), "roster", "")
	}
	url := strings.TrimSuffix(c.String("platform"), "/") + "/objects/" + string(key.Kind) + "/" + key.Name
	header := http.Header{"If-Match": {"0"}}
	if _, err := loopback.NewClient(time.Second).Call(ctx, http.MethodPut, url, header, body); err != nil {
		return err
	}
	return loopback.PrintJSON(c.Root().Writer, r)
}

// behind tells the relay the hosts and returns them with its addresses.
func behind(ctx context.Context, url string, r member.Roster) (member.Roster, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return r, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "roster cannot be encoded"), "roster", "")
	}
	answer, err := loopback.NewClient(time.Second).Call(ctx, http.MethodPut, strings.TrimSuffix(url, "/")+"/roster", nil, body)
	if err != nil {
		return r, err
	}
	var front member.Roster
	if err := json.Unmarshal(answer, &front); err != nil {
		return r, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "roster of the relay"), "roster", url)
	}
	return front, nil
}

// startLine is the part of the first log line of a host that the roster needs.
type startLine struct {
	Message       string                      `json:"msg"`
	Host          pimentospread.HostID        `json:"host"`
	FailureDomain pimentospread.FailureDomain `json:"failure_domain"`
	Data          netip.AddrPort              `json:"data"`
	Peer          netip.AddrPort              `json:"peer"`
	Admin         netip.AddrPort              `json:"admin"`
}

// started finds the line in which a host says that it has started.
func started(name string) (member.Host, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return member.Host{}, pimentospread.At(pimentospread.ErrNotFound.Wrap(err, "log"), "read", "")
	}
	for line := range bytes.Lines(data) {
		var s startLine
		if json.Unmarshal(line, &s) == nil && s.Message == "host started" {
			return member.Host{
				ID: s.Host, FailureDomain: s.FailureDomain, State: member.Live,
				PeerAddress: s.Peer, DataAddress: s.Data, AdminAddress: s.Admin,
			}, nil
		}
	}
	return member.Host{}, pimentospread.At(pimentospread.ErrNotFound.New("the host of log %q has not started", name), "roster", "")
}
