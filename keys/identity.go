package keys

import (
	"crypto/x509"
	"net/url"
	"strings"

	"pimentospread"
)

// scheme is the URI scheme of identities.
const scheme = "pimentospread"

// Identity identifies the host to which a certificate belongs.
type Identity struct {
	Cell pimentospread.Cell
	Host pimentospread.HostID
}

// URI returns the identity as a URI for the subject alternative name of a
// certificate, with the path /cell/host. Both names are escaped, so that one with a
// slash cannot be parsed as another host.
func (i Identity) URI() *url.URL {
	cell, host := url.PathEscape(string(i.Cell)), url.PathEscape(string(i.Host))
	return &url.URL{Scheme: scheme, Path: "/" + string(i.Cell) + "/" + string(i.Host), RawPath: "/" + cell + "/" + host}
}

// String returns the cell and the host, separated by a slash.
func (i Identity) String() string { return string(i.Cell) + "/" + string(i.Host) }

// IdentityOf returns the identity in a certificate. It returns an error if the
// certificate contains none or more than one.
func IdentityOf(c *x509.Certificate) (Identity, error) {
	var found []Identity
	for _, u := range c.URIs {
		if i, ok := parseIdentity(u); ok {
			found = append(found, i)
		}
	}
	if len(found) != 1 {
		return Identity{}, refusal(CauseIdentity, "", "the certificate of %q contains %d host identities, must contain one", c.Subject.CommonName, len(found))
	}
	return found[0], nil
}

func parseIdentity(u *url.URL) (Identity, bool) {
	if u.Scheme != scheme || u.Host != "" {
		return Identity{}, false
	}
	parts := strings.Split(strings.TrimPrefix(u.EscapedPath(), "/"), "/")
	if len(parts) != 2 {
		return Identity{}, false
	}
	cell, err := url.PathUnescape(parts[0])
	if err != nil || cell == "" {
		return Identity{}, false
	}
	host, err := url.PathUnescape(parts[1])
	if err != nil || host == "" {
		return Identity{}, false
	}
	return Identity{Cell: pimentospread.Cell(cell), Host: pimentospread.HostID(host)}, true
}
