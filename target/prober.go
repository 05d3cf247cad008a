// Package target asks targets for their health and load over HTTP.
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

// maxReport bounds the body of a report.
const maxReport = 4 << 10

// Deps are what a Prober needs.
type Deps struct {
	// HTTP sends the requests. Nil means a client of its own that keeps connections.
	HTTP  *http.Client
	Clock pimentospread.Clock
	// Timeout bounds one probe. Zero means 800 ms, so that a probe ends before the next one is due.
	Timeout time.Duration
}

// Prober implements pimentospread.Prober.
type Prober struct {
	http    *http.Client
	clock   pimentospread.Clock
	timeout time.Duration
}

var _ pimentospread.Prober = (*Prober)(nil)

// NewProber returns a prober.
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

// Probe asks the target at the address. A target that answers 503 with a report
// is heard; it says itself that it is not healthy.
func (p *Prober) Probe(ctx context.Context, address netip.AddrPort) (pimentospread.LoadReport, error) {
	const step = "probe"
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address.String(), Path: "/health"}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return pimentospread.LoadReport{}, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "address is not usable"), step, address.String())
	}
	a, err := p.http.Do(r)
	if err != nil {
		return pimentospread.LoadReport{}, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "target did not answer"), step, address.String())
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusOK && a.StatusCode != http.StatusServiceUnavailable {
		return pimentospread.LoadReport{}, pimentospread.At(pimentospread.ErrUnavailable.New("target answered with status %d", a.StatusCode), step, address.String())
	}
	data, err := io.ReadAll(io.LimitReader(a.Body, maxReport))
	if err != nil {
		return pimentospread.LoadReport{}, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "answer broke off"), step, address.String())
	}
	var report pimentospread.LoadReport
	if err := json.Unmarshal(data, &report); err != nil {
		return pimentospread.LoadReport{}, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "report is not valid"), step, address.String())
	}
	report.Healthy = report.Healthy && a.StatusCode == http.StatusOK
	report.At = p.clock.Now()
	return report, nil
}
