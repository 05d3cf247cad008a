package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"pimentospread"
	"pimentospread/member"
	"pimentospread/publish"
	"pimentospread/release"
	"pimentospread/slo"
)

// maxResponseBytes limits what a client reads of a response. A release is 1 MiB at most, and
// as JSON a few times that.
const maxResponseBytes = 16 << 20

// Client is a client of the administration API of one host.
type Client struct {
	base  string
	token string
	http  *http.Client
	// tls is nil if the hosts serve plain HTTP.
	tls *tls.Config
}

// NewClient returns a client that calls the host at the base URL over plain HTTP.
func NewClient(base, token string) *Client {
	return &Client{base: base, token: token, http: &http.Client{}}
}

// NewSecureClient returns a client that calls the host at the base URL over TLS.
func NewSecureClient(base, token string, config *tls.Config) *Client {
	return &Client{base: base, token: token, tls: config, http: &http.Client{Transport: &http.Transport{TLSClientConfig: config}}}
}

// ForAddress returns a client with the same token and TLS configuration for
// another host.
func (c *Client) ForAddress(address netip.AddrPort) *Client {
	if c.tls == nil {
		return NewClient("http://"+address.String(), c.token)
	}
	return NewSecureClient("https://"+address.String(), c.token, c.tls)
}

// Release waits until the generation of the host's release is above after and
// returns the release.
func (c *Client) Release(ctx context.Context, after pimentospread.Generation) (*release.Release, error) {
	var r release.Release
	err := c.call(ctx, http.MethodGet, fmt.Sprintf("/v1/release?After=%d", after), nil, &r)
	return &r, err
}

// Status returns the status of the cell as known to the host.
func (c *Client) Status(ctx context.Context) (member.CellStatus, error) {
	var s member.CellStatus
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &s)
	return s, err
}

// Burn returns the host's part of the burn report.
func (c *Client) Burn(ctx context.Context) (slo.HostReport, error) {
	var r slo.HostReport
	if err := c.call(ctx, http.MethodGet, "/v1/burn", nil, &r); err != nil {
		return r, err
	}
	if faults := r.Check("Report"); len(faults) > 0 {
		err := pimentospread.ErrInvalid.New("the burn report has %d faults, the first at %s", len(faults), faults[0])
		return r, pimentospread.WithFaults(pimentospread.At(err, "check burn", c.base), faults)
	}
	return r, nil
}

// Check validates a set of objects without publishing it.
func (c *Client) Check(ctx context.Context, set []byte) error {
	return c.call(ctx, http.MethodPost, "/v1/check", set, nil)
}

// Publish publishes a change and returns the new release.
func (c *Client) Publish(ctx context.Context, change publish.Change) (*release.Release, error) {
	body, err := json.Marshal(change)
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "the change cannot be encoded"), "encode", "")
	}
	var r release.Release
	err = c.call(ctx, http.MethodPost, "/v1/changes", body, &r)
	return &r, err
}

// call sends a request and decodes the JSON response into into, unless it is nil.
func (c *Client) call(ctx context.Context, method, path string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return c.failed(err)
	}
	request.Header.Set("Content-Type", jsonType)
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return c.failed(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return c.failed(err)
	}
	if len(data) > maxResponseBytes {
		return c.failed(fmt.Errorf("response to %s %s is longer than %d bytes", method, path, maxResponseBytes))
	}
	if response.StatusCode >= http.StatusBadRequest {
		return c.problem(response, data)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return c.failed(err)
	}
	return nil
}

// problem returns the error in a response with an error status.
func (c *Client) problem(response *http.Response, data []byte) error {
	var p Problem
	if response.Header.Get("Content-Type") != problemType || json.Unmarshal(data, &p) != nil {
		return c.failed(pimentospread.ErrUnavailable.New("unexpected status %s", response.Status))
	}
	return p
}

// failed returns the error of a call without a usable response.
func (c *Client) failed(err error) error {
	return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "administration API call failed"), "call", c.base)
}
