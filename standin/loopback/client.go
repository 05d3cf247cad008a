package loopback

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"pimentospread"
)

// UserAgent marks the calls of stand-ins, so that the platform counts them apart from those of hosts.
const UserAgent = "standin"

// maxBody bounds what a stand-in reads of an answer: the longest ledger of a run.
const maxBody = 256 << 20

// Client calls the HTTP endpoints of other processes on this machine.
type Client struct{ http *http.Client }

// NewClient returns a client that gives up after the timeout.
func NewClient(timeout time.Duration) *Client {
	return &Client{&http.Client{Timeout: timeout}}
}

// Call sends one request and returns the body of a 2xx answer.
func (c *Client) Call(ctx context.Context, method, url string, header http.Header, body []byte) ([]byte, error) {
	q, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "call"), "call", url)
	}
	for k, v := range header {
		q.Header[k] = v
	}
	q.Header.Set("User-Agent", UserAgent)
	a, err := c.http.Do(q)
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "call"), "call", url)
	}
	defer func() { _ = a.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(a.Body, maxBody))
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "answer"), "call", url)
	}
	if a.StatusCode/100 != 2 {
		return nil, pimentospread.At(pimentospread.ErrRefused.New("status %d: %s", a.StatusCode, bytes.TrimSpace(content)), "call", url)
	}
	return content, nil
}

// GetJSON reads a JSON value.
func (c *Client) GetJSON(ctx context.Context, url string, into any) error {
	content, err := c.Call(ctx, http.MethodGet, url, nil, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(content, into); err != nil {
		return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "answer"), "decode", url)
	}
	return nil
}

// WriteJSON answers a call with a JSON value.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(value)
}

// ReadJSON reads the body of a call and refuses unknown fields. It answers the call itself on a fault.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// PrintJSON prints a value as one JSON line, from which a script reads the ports.
func PrintJSON(w io.Writer, value any) error {
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "standard output"), "announce", "")
	}
	return nil
}
