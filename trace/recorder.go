package trace

import (
	"bufio"
	"context"
	"encoding/json"
	"io"

	"pimentospread"
	"pimentospread/ring"
)

// recorderCapacity is the number of events of about one second on a busy host.
const recorderCapacity = 1 << 16

// Recorder writes events to a trace in a duty of its own, Run. A nil Recorder records nothing.
type Recorder struct {
	out    io.Writer
	events *ring.Ring[Event]
}

// NewRecorder returns a recorder that writes each event as one line of JSON.
func NewRecorder(out io.Writer) *Recorder {
	return &Recorder{out: out, events: ring.New[Event](recorderCapacity, ring.Block)}
}

// Record queues an event. It blocks while the queue is full, because a trace with
// gaps cannot be replayed.
func (r *Recorder) Record(ctx context.Context, e Event) {
	if r == nil {
		return
	}
	_ = r.events.Put(ctx, e)
}

// Run writes events until the context is cancelled, then writes the events that
// are still queued.
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
			// Flushing when the queue is empty limits what is lost when the host is killed.
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
