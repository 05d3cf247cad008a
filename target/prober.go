// Package target probes the health and load of targets over HTTP.
package target

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"pimentospread"
)

// maxReportSize is the largest response body that is read, in bytes.
const maxReportSize = 4 << 10

// Deps are the dependencies of a Prober.
type Deps struct {
	// HTTP sends the requests. If it is nil, the Prober creates a client that keeps connections open.
	HTTP  *http.Client
	Clock pimentospread.Clock
	// Timeout is the time limit of one probe. Zero means 800 ms, so that a probe ends
	// before the next one is due.
	Timeout time.Duration
}

// Prober implements pimentospread.Prober with an HTTP request to /health.
type Prober struct {
	http    *http.Client
	clock   pimentospread.Clock
	timeout time.Duration
}

var _ pimentospread.Prober = (*Prober)(nil)

// NewProber returns a Prober with the given dependencies.
func NewProber(d Deps) *Prober {
	p := &Prober{http: d.HTTP, clock: d.Clock, timeout: d.Timeout}
	if p.http == nil {
		p.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}}
	}
	if p.timeout == 0 {
		p.timeout = 800 * time.Millisecond
	}
	return p
}

// Probe gets the report of the target at the address. A response with status 503 and
// a report is not an error; the returned report then has Healthy false.
func (p *Prober) Probe(ctx context.Context, address netip.AddrPort) (pimentospread.LoadReport, error) {
	const step = "probe"
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address.String(), Path: "/health"}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return pimentospread.LoadReport{}, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "address does not give a valid URL"), step, address.String())
	}
	response, err := p.http.Do(request)
	if err != nil {
		return pimentospread.LoadReport{}, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "target did not respond"), step, address.String())
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusServiceUnavailable {
		return pimentospread.LoadReport{}, pimentospread.At(pimentospread.ErrUnavailable.New("target responded with status %d, want 200 or 503", response.StatusCode), step, address.String())
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReportSize))
	if err != nil {
		return pimentospread.LoadReport{}, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "cannot read the response body"), step, address.String())
	}
	var report pimentospread.LoadReport
	if err := json.Unmarshal(data, &report); err != nil {
		return pimentospread.LoadReport{}, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "response body is not a valid report"), step, address.String())
	}
	report.Healthy = report.Healthy && response.StatusCode == http.StatusOK
	report.At = p.clock.Now()
	return report, nil
}
