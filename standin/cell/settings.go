// Package cell prepares the hosts of a cell for a demo: it writes their settings
// files, and publishes a roster with the addresses on which they listen.
package cell

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"pimentospread"
	"pimentospread/keys"
	"pimentospread/settings"
)

// maxHosts is the largest number of hosts in one cell.
const maxHosts = 64

// SettingsCommand returns the subcommand that writes the settings of all hosts of
// a cell. The kernel chooses their ports when they start, so that several cells
// can run on one machine.
func SettingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "write the settings of the hosts of a cell as host-1.json, host-2.json and so on",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "directory", Required: true, Usage: "`DIRECTORY` of the files"},
			&cli.StringFlag{Name: "cell", Required: true, Usage: "`NAME` of the cell"},
			&cli.IntFlag{Name: "count", Value: 8, Usage: "number of hosts"},
			&cli.StringSliceFlag{Name: "domain", Required: true, Usage: "failure `DOMAIN`, assigned to the hosts in turn; repeat for each"},
			&cli.StringFlag{Name: "platform", Required: true, Usage: "`URL` of the platform"},
			&cli.StringFlag{Name: "fabric", Required: true, Usage: "`ADDRESS` of the fabric"},
			&cli.StringFlag{Name: "keys", Usage: "`DIRECTORY` of the keys of the hosts; without it, peers use plain TCP"},
			&cli.StringFlag{Name: "trace", Usage: "`DIRECTORY` of the traces; without it, hosts write none"},
		},
		Action: func(_ context.Context, c *cli.Command) error { return writeSettings(c) },
	}
}

// writeSettings writes one settings file per host. All hosts share one administration token.
func writeSettings(c *cli.Command) error {
	fabric, err := netip.ParseAddrPort(c.String("fabric"))
	if err != nil {
		return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "--fabric is not an address with a port"), "settings", "")
	}
	if n := c.Int("count"); n < 1 || n > maxHosts {
		return pimentospread.At(pimentospread.ErrInvalid.New("--count must be between 1 and %d, got %d", maxHosts, n), "settings", "")
	}
	domains := c.StringSlice("domain")
	token := rand.Text()
	for i := range c.Int("count") {
		s := settings.DefaultSettings()
		s.Host = pimentospread.HostID(fmt.Sprintf("host-%d", i+1))
		s.Cell = pimentospread.Cell(c.String("cell"))
		s.FailureDomain = pimentospread.FailureDomain(domains[i%len(domains)])
		s.PlatformURL, s.FabricAddress, s.AdminToken = c.String("platform"), fabric, token
		if directory := c.String("keys"); directory != "" {
			s.PeerKeys = keys.Files{
				CertificatePath: filepath.Join(directory, string(s.Host)+".pem"), KeyPath: filepath.Join(directory, string(s.Host)+".key"),
				AuthorityPath: filepath.Join(directory, "authority.pem"),
			}
		}
		if directory := c.String("trace"); directory != "" {
			s.TracePath = filepath.Join(directory, string(s.Host)+".jsonl")
		}
		if err := writeSettingsFile(filepath.Join(c.String("directory"), string(s.Host)+".json"), s); err != nil {
			return err
		}
	}
	return nil
}

func writeSettingsFile(path string, s settings.Settings) error {
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "settings cannot be encoded"), "write", "")
	}
	// The file contains the administration token, so only its owner may read it.
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "settings file cannot be written"), "write", path)
	}
	return nil
}
