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

// RosterCommand returns the subcommand that publishes the addresses of the running
// hosts as a Roster object, which a real platform does by itself.
func RosterCommand() *cli.Command {
	return &cli.Command{
		Name:  "roster",
		Usage: "read the addresses of hosts from their logs, and publish them as a Roster object on the platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "cell", Required: true, Usage: "`NAME` of the cell"},
			&cli.StringFlag{Name: "platform", Required: true, Usage: "`URL` of the platform"},
			&cli.StringSliceFlag{Name: "log", Required: true, Usage: "`FILE` with the log of a host; repeat for each"},
			&cli.StringFlag{Name: "relay", Usage: "`URL` of the relay in front of the hosts; if set, peers connect through it"},
			&cli.DurationFlag{Name: "wait", Value: 20 * time.Second, Usage: "`TIME` in which each host has to start"},
		},
		Action: publishRoster,
	}
}

// publishRoster waits until all hosts have started, and creates the Roster object.
func publishRoster(ctx context.Context, c *cli.Command) error {
	var roster member.Roster
	for _, path := range c.StringSlice("log") {
		h, err := loopback.Retry(ctx, c.Duration("wait"), func(context.Context) (member.Host, error) { return readStartedHost(path) })
		if err != nil {
			return err
		}
		roster.Hosts = append(roster.Hosts, h)
	}
	if url := c.String("relay"); url != "" {
		relayed, err := registerWithRelay(ctx, url, roster)
		if err != nil {
			return err
		}
		roster = relayed
	}
	value, err := json.Marshal(roster)
	if err != nil {
		return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "roster cannot be encoded"), "roster", "")
	}
	key := pimentospread.ObjectKey{Kind: pimentospread.KindRoster, Name: c.String("cell")}
	body, err := json.Marshal(pimentospread.Object{ObjectKey: key, Value: value})
	if err != nil {
		return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "roster cannot be encoded"), "roster", "")
	}
	url := strings.TrimSuffix(c.String("platform"), "/") + "/objects/" + string(key.Kind) + "/" + key.Name
	// Version 0 creates the object and fails if it exists.
	header := http.Header{"If-Match": {"0"}}
	if _, err := loopback.NewClient(time.Second).Call(ctx, http.MethodPut, url, header, body); err != nil {
		return err
	}
	return loopback.PrintJSON(c.Root().Writer, roster)
}

// registerWithRelay sends the hosts to the relay and returns them with the
// addresses on which the relay accepts connections for them.
func registerWithRelay(ctx context.Context, url string, roster member.Roster) (member.Roster, error) {
	body, err := json.Marshal(roster)
	if err != nil {
		return roster, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "roster cannot be encoded"), "roster", "")
	}
	response, err := loopback.NewClient(time.Second).Call(ctx, http.MethodPut, strings.TrimSuffix(url, "/")+"/roster", nil, body)
	if err != nil {
		return roster, err
	}
	var relayed member.Roster
	if err := json.Unmarshal(response, &relayed); err != nil {
		return roster, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "roster from the relay cannot be decoded"), "roster", url)
	}
	return relayed, nil
}

// hostStartedLine holds the fields of the log line "host started" that the roster needs.
type hostStartedLine struct {
	Message       string                      `json:"msg"`
	Host          pimentospread.HostID        `json:"host"`
	FailureDomain pimentospread.FailureDomain `json:"failure_domain"`
	Data          netip.AddrPort              `json:"data"`
	Peer          netip.AddrPort              `json:"peer"`
	Admin         netip.AddrPort              `json:"admin"`
}

// readStartedHost returns the host whose log contains a line "host started". It
// fails if the host has not logged this line yet.
func readStartedHost(path string) (member.Host, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return member.Host{}, pimentospread.At(pimentospread.ErrNotFound.Wrap(err, "log of a host cannot be read"), "read", "")
	}
	for line := range bytes.Lines(data) {
		var started hostStartedLine
		if json.Unmarshal(line, &started) == nil && started.Message == "host started" {
			return member.Host{
				ID: started.Host, FailureDomain: started.FailureDomain, State: member.Live,
				PeerAddress: started.Peer, DataAddress: started.Data, AdminAddress: started.Admin,
			}, nil
		}
	}
	return member.Host{}, pimentospread.At(pimentospread.ErrNotFound.New("log %q has no line \"host started\"", path), "roster", "")
}
