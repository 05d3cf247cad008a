package trace

import (
	"bufio"
	"context"
	"encoding/json"
	"io"

	"pimentospread"
	"pimentospread/ring"
)

// recorderCapacity is about one second of events of a busy host.
const recorderCapacity = 1 << 16

// Recorder is the duty that writes events. A nil Recorder records nothing.
type Recorder struct {
	out    io.Writer
	events *ring.Ring[Event]
}

// NewRecorder returns a recorder that writes one JSON object a line.
func NewRecorder(out io.Writer) *Recorder {
	return &Recorder{out: out, events: ring.New[Event](recorderCapacity, ring.Wait)}
}

// Record adds an event. It waits for room, because a trace with gaps cannot be replayed.
func (r *Recorder) Record(ctx context.Context, e Event) {
	if r == nil {
		return
	}
	_ = r.events.Put(ctx, e)
}

// Run writes events until the context ends.
func (r *Recorder) Run(ctx context.Context) error {
	buffered := bufio.NewWriter(r.out)
	encoder := json.NewEncoder(buffered)
	for {
		select {
		case <-ctx.Done():
			return r.drain(buffered, encoder)
		case e := <-r.events.Items():
			if err := encoder.Encode(e); err != nil {
				return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "trace cannot be written"), "record", "")
			}
			// A host that is killed leaves what it has written so far.
			if r.events.Len() > 0 {
				continue
			}
			if err := buffered.Flush(); err != nil {
				return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "trace cannot be written"), "record", "")
			}
		}
	}
}

func (r *Recorder) drain(buffered *bufio.Writer, encoder *json.Encoder) error {
	for {
		select {
		case e := <-r.events.Items():
			if err := encoder.Encode(e); err != nil {
				return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "trace cannot be written"), "record", "")
			}
		default:
			return buffered.Flush()
		}
	}
}
