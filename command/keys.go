package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"pimentospread"
	"pimentospread/keys"
)

const (
	flagDirectory         = "directory"
	flagCell              = "cell"
	flagName              = "name"
	flagOperator          = "operator"
	flagAddress           = "address"
	flagValidity          = "validity"
	flagAuthorityValidity = "authority-validity"

	day = 24 * time.Hour
	// authorityFile is the name of the authority's files without their extension.
	authorityFile = "authority"
)

func (s commands) keys() *cli.Command {
	return &cli.Command{
		Name:  "keys",
		Usage: "create a private authority and certificates for tests and small deployments",
		Description: "The authority is created if the directory has none. NAME.pem and NAME.key are written for each\n" +
			"name and replace those of an earlier run. Do not copy authority.key to the hosts.\n\n" +
			"Example: pimentospread keys --directory keys --cell lk-west --name neg-1 --name neg-2 --address 192.0.2.1",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagDirectory, Required: true, Usage: "directory for the files"},
			&cli.StringFlag{Name: flagCell, Usage: "cell of the hosts; required with --name"},
			&cli.StringSliceFlag{Name: flagName, Usage: "host to create a certificate for; may be repeated"},
			&cli.StringSliceFlag{Name: flagOperator, Usage: "operator to create a certificate for; may be repeated"},
			&cli.StringSliceFlag{
				Name: flagAddress, Value: []string{"127.0.0.1"},
				Usage: "IP address of the administration API in the hosts' certificates; may be repeated",
			},
			&cli.DurationFlag{Name: flagValidity, Value: 30 * day, Usage: "validity of the certificates"},
			&cli.DurationFlag{Name: flagAuthorityValidity, Value: 365 * day, Usage: "validity of a new authority"},
			outputFlag(),
		},
		Action: func(_ context.Context, c *cli.Command) error {
			written, err := makeKeys(c, time.Now())
			if err != nil {
				return err
			}
			return s.print(c, written, func(w io.Writer) {
				for _, path := range written {
					_, _ = fmt.Fprintln(w, path)
				}
			})
		},
	}
}

// makeKeys writes the files that the flags request and returns their paths.
func makeKeys(c *cli.Command, now time.Time) ([]string, error) {
	names, cell := c.StringSlice(flagName), pimentospread.Cell(c.String(flagCell))
	if len(names) > 0 && cell == "" {
		return nil, errUsage.New("--%s needs --%s", flagName, flagCell)
	}
	if slices.Contains(append(names, c.StringSlice(flagOperator)...), authorityFile) {
		return nil, errUsage.New("the name %q is reserved for the authority's files", authorityFile)
	}
	var addresses []netip.Addr
	for _, text := range c.StringSlice(flagAddress) {
		a, err := netip.ParseAddr(text)
		if err != nil {
			return nil, errUsage.New("address %q is not an IP address", text)
		}
		addresses = append(addresses, a)
	}
	d := keyDirectory{path: c.String(flagDirectory)}
	authority, err := d.authority(now, c.Duration(flagAuthorityValidity))
	if err != nil {
		return nil, err
	}
	validity := c.Duration(flagValidity)
	for _, name := range names {
		pair, err := authority.IssueHost(keys.Identity{Cell: cell, Host: pimentospread.HostID(name)}, addresses, now, validity)
		if err := d.write(name, pair, err); err != nil {
			return nil, err
		}
	}
	for _, name := range c.StringSlice(flagOperator) {
		pair, err := authority.IssueOperator(name, now, validity)
		if err := d.write(name, pair, err); err != nil {
			return nil, err
		}
	}
	return d.written, nil
}

// keyDirectory is a directory with an authority and the certificates that it issued.
type keyDirectory struct {
	path    string
	written []string
}

// authority loads the authority of the directory, or creates one if there is
// none. It returns an error if only one of its two files exists: hosts with
// certificates of a new authority could not connect to hosts with existing ones.
func (d *keyDirectory) authority(now time.Time, validity time.Duration) (*keys.Authority, error) {
	certificate, errCertificate := os.ReadFile(filepath.Join(d.path, authorityFile+".pem"))
	key, errKey := os.ReadFile(filepath.Join(d.path, authorityFile+".key"))
	if errors.Is(errCertificate, fs.ErrNotExist) && errors.Is(errKey, fs.ErrNotExist) {
		a, err := keys.NewAuthority("pimentospread authority", now, validity)
		if err != nil {
			return nil, err
		}
		return a, d.write(authorityFile, a.Pair, nil)
	}
	if err := errors.Join(errCertificate, errKey); err != nil {
		return nil, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "authority cannot be read"), "read", d.path)
	}
	return keys.LoadAuthority(keys.Pair{Certificate: certificate, Key: key})
}

// write writes the files of a pair. If err is set, it returns err instead.
func (d *keyDirectory) write(name string, p keys.Pair, err error) error {
	if err != nil {
		return err
	}
	if err := os.MkdirAll(d.path, 0o700); err != nil {
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "directory cannot be created"), "write", d.path)
	}
	for _, file := range []struct {
		extension string
		data      []byte
		mode      fs.FileMode
	}{{".key", p.Key, 0o600}, {".pem", p.Certificate, 0o644}} {
		path := filepath.Join(d.path, url.PathEscape(name)+file.extension)
		if err := writeAtomically(path, file.data, file.mode); err != nil {
			return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "file cannot be written"), "write", path)
		}
		d.written = append(d.written, path)
	}
	return nil
}

// writeAtomically replaces a file by renaming, so that a host never reads a
// partial file.
func writeAtomically(path string, data []byte, mode fs.FileMode) error {
	if err := os.WriteFile(path+".new", data, mode); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
