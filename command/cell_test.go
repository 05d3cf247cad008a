package command_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"pimentospread"
	"pimentospread/command"
	"pimentospread/member"
	"pimentospread/operator"
	"pimentospread/publish"
	"pimentospread/release"
	"pimentospread/settings"
	"pimentospread/slo"
)

const token = "a-token"

// cell serves the administration API of one host with an in-memory platform,
// which it implements itself. It is not safe for concurrent calls.
type cell struct {
	objects map[pimentospread.ObjectKey]pimentospread.Object
	// beforePut, when set, is called once before the next write of the release.
	beforePut func()
	server    *httptest.Server
	publisher *publish.Publisher
	// onTimeout is called for each request that finds no newer release.
	onTimeout func()
}

func (c *cell) Get(_ context.Context, key pimentospread.ObjectKey) (pimentospread.Object, error) {
	o, ok := c.objects[key]
	if !ok {
		return o, pimentospread.ErrNotFound.New("%s %q does not exist", key.Kind, key.Name)
	}
	return o, nil
}

func (c *cell) Put(_ context.Context, key pimentospread.ObjectKey, value json.RawMessage, expected pimentospread.ObjectVersion) (pimentospread.ObjectVersion, error) {
	if f := c.beforePut; f != nil && key.Kind == pimentospread.KindRelease {
		c.beforePut = nil
		f()
	}
	if c.objects[key].Version != expected {
		return 0, pimentospread.ErrConflict.New("%s %q has another version", key.Kind, key.Name)
	}
	c.objects[key] = pimentospread.Object{ObjectKey: key, Version: expected + 1, Value: value}
	return expected + 1, nil
}

func (c *cell) Watch(context.Context, pimentospread.ObjectKey, pimentospread.ObjectVersion) (pimentospread.Object, error) {
	return pimentospread.Object{}, pimentospread.ErrTimeout.New("no change")
}

func newCell(t *testing.T) *cell {
	t.Helper()
	c := &cell{objects: map[pimentospread.ObjectKey]pimentospread.Object{}, onTimeout: func() {}}
	number := 0
	c.publisher = publish.New(publish.Deps{
		Platform: c, Clock: pimentospread.SystemClock{}, Cell: "cell",
		InForce: func(context.Context) (publish.InForce, error) { return publish.InForce{}, nil },
		NewID: func() pimentospread.PublishID {
			number++
			return pimentospread.PublishID(strings.Repeat("i", number))
		},
		NewSeed: func() uint64 { return 1 },
	})
	c.server = httptest.NewServer(operator.NewServer(operator.Deps{
		Log: slog.New(slog.DiscardHandler), Publisher: c.publisher, Token: token,
		Release: c.release, Status: c.status, Burn: c.burn,
		Metrics: func(io.Writer) {}, Ready: func(context.Context) bool { return true },
	}))
	t.Cleanup(c.server.Close)
	return c
}

func (c *cell) release(ctx context.Context, after pimentospread.Generation) (*release.Release, error) {
	r, _, err := c.publisher.Current(ctx)
	switch {
	case err != nil:
		return nil, err
	case r == nil:
		return nil, pimentospread.At(pimentospread.ErrNotFound.New("no release is in force at this host"), "get release", "")
	case r.Generation <= after:
		c.onTimeout()
		return nil, pimentospread.At(pimentospread.ErrTimeout.New("generation %d is still in force", after), "watch release", "")
	}
	return r, nil
}

// status lists this host, a host that does not answer, and one whose address is
// that of this host.
func (c *cell) status(context.Context) (member.CellStatus, error) {
	address := netip.MustParseAddrPort(c.server.Listener.Addr().String())
	return member.CellStatus{Reporter: "host-1", Generation: 3, Hosts: []member.HostStatus{
		{Host: "host-1", FailureDomain: "east", AdminAddress: address, Alive: true, Ready: true, Prepared: 3, Active: 3},
		{Host: "host-2", FailureDomain: "west", AdminAddress: netip.MustParseAddrPort("127.0.0.1:1")},
		{Host: "host-3", FailureDomain: "west", AdminAddress: address, Alive: true, Leaving: true, Prepared: 3, Active: 2},
	}}, nil
}

func (c *cell) burn(context.Context) (slo.HostReport, error) {
	return slo.HostReport{Host: "host-1", At: time.Unix(100, 0).UTC(), Services: []slo.ServiceCounts{{
		Service: "watchdesk",
		Classes: []slo.ClassCounts{{Class: "report", Objective: 0.99, Short: slo.Count{Good: 98, Total: 100}, Long: slo.Count{Good: 98, Total: 100}}},
	}}}, nil
}

// result is the output and exit code of a command.
type result struct {
	Code        int
	Out, Errors string
}

// run runs a command in the same way as the program.
func run(ctx context.Context, stdin string, arguments ...string) result {
	var out, errs strings.Builder
	tree := command.New(command.Deps{
		Build: command.Build{Version: "1.2", Revision: "abc"},
		Stdin: strings.NewReader(stdin), Stdout: &out, Stderr: &errs,
		Serve: func(context.Context, settings.Source) error {
			return pimentospread.ErrUnavailable.New("address is in use")
		},
	})
	err := tree.Run(ctx, append([]string{"pimentospread"}, arguments...))
	if err != nil {
		errs.WriteString(pimentospread.Text(err) + "\n")
	}
	return result{command.ExitCode(err), out.String(), errs.String()}
}

// run runs a command with the cell as its host.
func (c *cell) run(ctx context.Context, arguments ...string) result {
	return run(ctx, "", append(slices.Clone(arguments), "--host", c.server.URL)...)
}
