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

// UserAgent is the User-Agent header of stand-ins. The platform counts their calls
// separately from those of hosts.
const UserAgent = "standin"

// maxResponseSize is the largest response body that a stand-in reads. The longest
// response is the ledger of a run.
const maxResponseSize = 256 << 20

// Client calls the HTTP endpoints of other processes on this machine.
type Client struct{ http *http.Client }

// NewClient returns a client whose calls fail after the timeout.
func NewClient(timeout time.Duration) *Client {
	return &Client{&http.Client{Timeout: timeout}}
}

// Call sends one request and returns the body of the response. Every status but
// 2xx is an error.
func (c *Client) Call(ctx context.Context, method, url string, header http.Header, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "request cannot be created"), "call", url)
	}
	for k, v := range header {
		request.Header[k] = v
	}
	request.Header.Set("User-Agent", UserAgent)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "call failed"), "call", url)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize))
	if err != nil {
		return nil, pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "response body cannot be read"), "call", url)
	}
	if response.StatusCode/100 != 2 {
		return nil, pimentospread.At(pimentospread.ErrRefused.New("status %d: %s", response.StatusCode, bytes.TrimSpace(content)), "call", url)
	}
	return content, nil
}

// GetJSON calls GET on the URL and decodes the JSON response into value.
func (c *Client) GetJSON(ctx context.Context, url string, value any) error {
	content, err := c.Call(ctx, http.MethodGet, url, nil, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(content, value); err != nil {
		return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "response cannot be decoded as JSON"), "decode", url)
	}
	return nil
}

// WriteJSON writes a response with the given status and a JSON value.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails only if the client has closed the connection, so the error is ignored.
	_ = json.NewEncoder(w).Encode(value)
}

// ReadJSON decodes the body of a request into value and refuses unknown fields. If
// the body is invalid, it responds with status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// PrintJSON prints a value as one line of JSON. Scripts read the ports of a process from it.
func PrintJSON(w io.Writer, value any) error {
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "cannot write to standard output"), "announce", "")
	}
	return nil
}
