package explain_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/joomcode/errorx"

	"pimentospread"
	"pimentospread/explain"
)

const logs = `
 0.1 h-2 {"time":"2026-01-17T06:41:18Z","level":"INFO","msg":"flow","host":"h-2","flow":"100.64.0.7:4000>198.18.0.1:443","packet":"data","action":"forward","cause":"repeated","request":"r-1","target":"i-1","age":200000000}
not a line of a log
{"time":"2026-01-17T06:41:17Z","level":"INFO","msg":"flow","host":"h-1","flow":"100.64.0.7:4000>198.18.0.1:443","packet":"open","action":"forward","cause":"rank","target":"i-1"}
{"time":"2026-01-17T06:41:17Z","level":"INFO","msg":"flow","host":"h-1","flow":"100.64.0.8:4000>198.18.0.1:443","packet":"open","action":"forward","cause":"rank","target":"i-2"}
{"time":"2026-01-17T06:41:19Z","level":"INFO","msg":"target gone","host":"h-1","target":"i-1","revision":12}
{"time":"2026-01-17T06:41:19Z","level":"INFO","msg":"target gone","host":"h-1","target":"i-2","revision":13}
{"time":"2026-01-17T06:41:16Z","level":"WARN","msg":"platform lost","host":"h-1","kind":"config","last_answer":1500000000}
{"time":"2026-01-17T06:40:00Z","level":"INFO","msg":"host started","host":"h-1"}
`

// Guards against a timeline without the lines of a second host, and against one
// with lines of other flows and targets.
func TestBuildTimeline(t *testing.T) {
	want := `flow 100.64.0.7:4000>198.18.0.1:443
06:41:16.000  h-1                      platform lost kind=config last_answer=1.5s
06:41:17.000  h-1                      flow packet=open action=forward cause=rank target=i-1
06:41:18.000  h-2                      flow request=r-1 packet=data action=forward cause=repeated target=i-1 age=200ms
06:41:19.000  h-1                      target gone target=i-1 revision=12
`
	for _, id := range []string{"r-1", "100.64.0.7:4000>198.18.0.1:443"} {
		timeline, err := explain.BuildTimeline(strings.NewReader(logs), id)
		if err != nil {
			t.Fatal(err)
		}
		var got bytes.Buffer
		if err := timeline.Write(&got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got.String()); diff != "" {
			t.Errorf("timeline of %s (-want +got):\n%s", id, diff)
		}
	}
	if _, err := explain.BuildTimeline(strings.NewReader(logs), "r-2"); !errorx.IsOfType(err, pimentospread.ErrNotFound) {
		t.Errorf("error %v for an id that no line has, want not found", err)
	}
}

func ExampleBuildTimeline() {
	timeline, err := explain.BuildTimeline(strings.NewReader(logs), "r-1")
	if err == nil {
		err = timeline.Write(os.Stdout)
	}
	if err != nil {
		panic(err)
	}
	// Output:
	// flow 100.64.0.7:4000>198.18.0.1:443
	// 06:41:16.000  h-1                      platform lost kind=config last_answer=1.5s
	// 06:41:17.000  h-1                      flow packet=open action=forward cause=rank target=i-1
	// 06:41:18.000  h-2                      flow request=r-1 packet=data action=forward cause=repeated target=i-1 age=200ms
	// 06:41:19.000  h-1                      target gone target=i-1 revision=12
}
