package command_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"pimentospread/command"
	"pimentospread/member"
	"pimentospread/pool"
	"pimentospread/release"
	"pimentospread/settings"
	"pimentospread/slo"
)

const (
	trust  = "../examples/trust.json"
	broken = `{
		"Services": [{"Name": "a", "Addresses": ["192.0.2.1:443"], "Pool": "none", "Policy": "p", "Colour": 1},
			{"Name": "b", "Addresses": ["192.0.2.1:443"], "Pool": "q", "Policy": "p"}],
		"TargetPools": [{"Name": "q", "Targets": [{"Name": "t", "FlowAddress": "x", "RequestAddress": "127.0.0.1:1", "HealthAddress": "127.0.0.1:2", "Slots": -1, "Connections": 1}]}],
		"Policies": [{"Name": "p", "Classes": [{"Name": "c", "QueueLength": 1, "MaxWait": "5", "Objective": 0.9}]}],
		"Extra": {}
	}`
)

// Guards against a check that stops at the first fault.
func TestCheckListsEveryFault(t *testing.T) {
	got := run(t.Context(), broken, "check", "--file", "-")
	want := result{Code: command.ExitInvalid, Errors: "the set has 7 faults\n", Out: strings.Join([]string{
		`Extra: is not a known field`,
		`Policies[0].Classes[0].MaxWait: duration "5" needs a unit, such as 10s: time: missing unit in duration "5"`,
		`Services[0].Colour: is not a known field`,
		`TargetPools[0].Targets[0].FlowAddress: not an ip:port`,
		`TargetPools[0].Targets[0].Slots: number -1 does not fit, must be a whole number of 32 bits`,
		`Services[0].Pool: target pool "none" does not exist`,
		`Services[1].Addresses[0]: 192.0.2.1:443 belongs to service "a" already`, "",
	}, "\n")}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	var faults []map[string]string
	if got := run(t.Context(), broken, "check", "--file", "-", "--output", "json"); json.Unmarshal([]byte(got.Out), &faults) != nil || len(faults) != 7 {
		t.Errorf("check prints %s, want a JSON list of 7 faults", got.Out)
	}
	if diff := cmp.Diff(result{Out: "[]\n"}, run(t.Context(), "", "check", "--file", trust, "--output", "json")); diff != "" {
		t.Error(diff)
	}
}

// Guards against wrong exit codes, on which scripts rely, and against errors with
// type names or stack traces.
func TestExitCodes(t *testing.T) {
	c := newCell(t)
	tests := map[string]struct {
		code      int
		stdin     string
		errors    string
		arguments []string
	}{
		"success":            {0, "", "", []string{"version"}},
		"file is missing":    {1, "", "file cannot be read: open none.json: no such file or directory (step read, peer none.json)\n", []string{"check", "--file", "none.json"}},
		"host is down":       {1, "", "", []string{"get", "--host", "http://127.0.0.1:1"}},
		"serve fails":        {1, "{}", "address is in use\n", []string{"serve", "--settings", "-"}},
		"no release":         {1, "", "no release is in force at this host (step get release)\n", []string{"get", "--host", c.server.URL}},
		"unknown command":    {2, "", "command \"stop\" does not exist; see pimentospread --help\n", []string{"stop"}},
		"flag is missing":    {2, "", "Required flag \"file\" not set; see pimentospread check --help\n", []string{"check"}},
		"unknown flag":       {2, "", "flag provided but not defined: -all; see pimentospread get --help\n", []string{"get", "--all"}},
		"unknown output":     {2, "", "invalid value \"xml\" for flag -output: output \"xml\" is neither text nor json; see pimentospread get --help\n", []string{"get", "--output", "xml"}},
		"drain without pool": {2, "", "drain needs a pool and a target\n", []string{"drain", "a"}},
		"rollback to text":   {2, "", "rollback needs one generation\n", []string{"rollback", "x"}},
		"no settings":        {2, "", "settings needs --settings or --reference\n", []string{"settings"}},
		"not JSON":           {3, "{", "the text is not valid JSON: unexpected end of JSON input (step decode)\n", []string{"check", "--file", "-"}},
		"invalid settings":   {3, `{"Host":"h","Cell":"c","FailureDomain":"f","PlatformURL":"http://p","FabricAddress":"127.0.0.1:1","FlowShards":0,"ProbeTimeout":5,"Token":"t"}`, "ProbeTimeout: number does not fit, must be a text with a unit, such as \"10s\"\nToken: is not a known field\nFlowShards: is 0, must be between 1 and 64\nthe settings have 3 faults\n", []string{"settings", "--settings", "-"}},
		"no token":           {1, "", "a change needs the administration token (step authorize, peer CLIENT)\n", []string{"apply", "--file", trust, "--host", c.server.URL}},
		"wrong token":        {1, "", "a change needs the administration token (step authorize, peer CLIENT)\n", []string{"drain", "p", "t", "--token", "x", "--host", c.server.URL}},
		"unknown target":     {3, "", "Target: pool \"p\" has no target \"t\"\nthe objects have 1 faults (step check)\n", []string{"drain", "p", "t", "--token", token, "--host", c.server.URL}},
		"other generation":   {4, "", "lost the race: no release is in force (step publish, peer platform)\n", []string{"apply", "--file", trust, "--if-generation", "9", "--token", token, "--host", c.server.URL}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := run(t.Context(), tt.stdin, tt.arguments...)
			if got.Code != tt.code {
				t.Errorf("exit code %d, want %d: %s", got.Code, tt.code, got.Errors)
			}
			if before, after, found := strings.Cut(got.Errors, "peer 127.0.0.1:"); found && strings.Contains(tt.errors, "CLIENT") {
				got.Errors = before + "peer CLIENT" + after[strings.Index(after, ")"):]
			}
			if diff := cmp.Diff(tt.errors, got.Errors); diff != "" && tt.errors != "" {
				t.Error(diff)
			}
			if strings.Contains(got.Errors, "pimentospread.") || strings.Contains(got.Errors, "\tat ") {
				t.Errorf("error contains a type name or a stack trace: %s", got.Errors)
			}
		})
	}
}

// Guards against a change that is accepted but not in force, and against a change
// that overwrites one published concurrently by another operator.
func TestChanges(t *testing.T) {
	c := newCell(t)
	ctx := t.Context()
	apply := []string{"apply", "--file", trust, "--token", token}
	drain := []string{"drain", "auction-desk", "auction-desk-03", "--token", token}
	steps := []struct {
		arguments []string
		want      string
	}{
		{apply, "accepted as generation 1\n"},
		{drain, "accepted as generation 2\n"},
		{append(drain, "--undo"), "accepted as generation 3\n"},
		{[]string{"rollback", "2", "--token", token}, "accepted as generation 4\n"},
	}
	for _, s := range steps {
		if diff := cmp.Diff(result{Out: s.want}, c.run(ctx, s.arguments...)); diff != "" {
			t.Fatalf("%v: %s", s.arguments, diff)
		}
	}
	var set release.Set
	decodeOutput(t, c.run(ctx, "get", "--output", "json"), &set)
	auctionDesk, _ := set.Pool("auction-desk")
	if target, _ := auctionDesk.ByName("auction-desk-03"); target.State != pool.Draining || target.ID != 0 {
		t.Errorf("target after the rollback: state %s, ID %d, want it draining and without an identifier", target.State, target.ID)
	}
	if got := c.run(ctx, "get"); !strings.HasPrefix(got.Out, "generation 4 by operator at ") || !strings.Contains(got.Out, "cert-office-04") {
		t.Errorf("get prints %s, want generation 4 by operator with target cert-office-04", got.Out)
	}
	var published release.Release
	decodeOutput(t, c.run(ctx, append(apply, "--output", "json", "--by", "second")...), &published)
	if published.Generation != 5 || published.Publisher != "second" {
		t.Errorf("published generation %d by %s, want 5 by second", published.Generation, published.Publisher)
	}
	c.beforePut = func() { c.run(ctx, append(drain, "--by", "first")...) }
	want := result{Code: command.ExitConflict, Errors: "lost the race: generation 6 by \"first\" is in force (step publish, peer platform)\n"}
	if diff := cmp.Diff(want, c.run(ctx, apply...)); diff != "" {
		t.Error(diff)
	}
}

// Guards against a watch that skips or repeats a generation, or that does not end
// with its context.
func TestWatchPrintsEachGenerationOnce(t *testing.T) {
	c := newCell(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c.run(ctx, "apply", "--file", trust, "--token", token)
	requests := 0
	c.onTimeout = func() {
		requests++
		if requests == 1 {
			c.run(ctx, "drain", "auction-desk", "auction-desk-01", "--token", token)
			return
		}
		cancel()
	}
	got := c.run(ctx, "watch")
	var generations []string
	for line := range strings.Lines(got.Out) {
		generations = append(generations, strings.Join(strings.Fields(line)[:4], " "))
	}
	if diff := cmp.Diff([]string{"generation 1 by operator", "generation 2 by operator"}, generations); diff != "" {
		t.Errorf("%s\n%s", diff, got.Errors)
	}
}

// Guards against a burn report that does not list missing hosts, and against a
// status without some hosts.
func TestStatusAndBurn(t *testing.T) {
	c := newCell(t)
	var status member.CellStatus
	decodeOutput(t, c.run(t.Context(), "status", "--output", "json"), &status)
	if len(status.Hosts) != 3 {
		t.Errorf("%d hosts in the status, want 3", len(status.Hosts))
	}
	want := "HOST    FAILURE DOMAIN  ALIVE  READY  LEAVING  PREPARED  ACTIVE\n" +
		"host-1  east            yes    yes    no       3         3\n" +
		"host-2  west            no     no     no       0         0\n" +
		"host-3  west            yes    no     yes      3         2\n"
	if diff := cmp.Diff(result{Out: want}, c.run(t.Context(), "status")); diff != "" {
		t.Error(diff)
	}
	var report slo.Report
	got := c.run(t.Context(), "burn", "--output", "json")
	decodeOutput(t, got, &report)
	if len(report.Hosts) != 1 || len(report.Missing) != 2 {
		t.Errorf("hosts %v, missing %v, want 1 host and 2 missing", report.Hosts, report.Missing)
	}
	for _, line := range []string{"host host-2 did not answer: ", "host host-3 did not answer: the report is of host \"host-1\""} {
		if !strings.Contains(got.Errors, line) {
			t.Errorf("stderr does not contain %q: %s", line, got.Errors)
		}
	}
	if got := c.run(t.Context(), "burn"); !strings.Contains(got.Out, "Hosts without answer: host-2, host-3\n") {
		t.Errorf("burn prints %s, want host-2 and host-3 listed as hosts without answer", got.Out)
	}
	if got := c.run(t.Context(), "burn", "--output", "html"); !strings.Contains(got.Out, "Hosts without answer: host-2, host-3.") {
		t.Errorf("burn prints %s, want host-2 and host-3 listed as hosts without answer", got.Out)
	}
}

// Guards against settings printed with their token, and against output that is
// not JSON although JSON was requested.
func TestSettingsAndVersion(t *testing.T) {
	text := `{"Host":"h","Cell":"c","FailureDomain":"f","PlatformURL":"http://p","FabricAddress":"127.0.0.1:1","AdminToken":"a-token"}`
	var s settings.Settings
	decodeOutput(t, run(t.Context(), text, "settings", "--settings", "-", "--output", "json"), &s)
	if s.AdminToken != "(set)" || s.FlowShards != settings.DefaultSettings().FlowShards {
		t.Errorf("token %q, %d flow shards, want (set) and the default number", s.AdminToken, s.FlowShards)
	}
	var b command.Build
	decodeOutput(t, run(t.Context(), "", "version", "--output", "json"), &b)
	if diff := cmp.Diff(command.Build{Version: "1.2", Revision: "abc"}, b); diff != "" {
		t.Error(diff)
	}
}

// decodeOutput decodes the JSON output of a successful command.
func decodeOutput(t *testing.T, r result, into any) {
	t.Helper()
	if err := json.Unmarshal([]byte(r.Out), into); err != nil || r.Code != command.ExitOK {
		t.Errorf("exit code %d, output cannot be decoded as JSON: %v\n%s%s", r.Code, err, r.Out, r.Errors)
	}
}
