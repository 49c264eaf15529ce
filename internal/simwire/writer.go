package simwire

import (
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// Writer writes replies, with one line for each action. It buffers a reply until End.
type Writer struct {
	out    io.Writer
	buffer bytes.Buffer
}

// NewWriter returns a Writer that writes replies to w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: w} }

func (w *Writer) begin(name string, instance int64) {
	w.buffer.WriteString(name)
	w.integer("router", instance)
}

func (w *Writer) text(name, value string) {
	w.buffer.WriteByte(' ')
	w.buffer.WriteString(name)
	w.buffer.WriteByte('=')
	w.buffer.WriteString(value)
}

func (w *Writer) integer(name string, v int64) { w.text(name, strconv.FormatInt(v, 10)) }

func (w *Writer) duration(name string, v time.Duration) { w.integer(name, v.Microseconds()) }

// Actions writes the actions of one instance. The protocol has no line for a ReportSuspicion, so an empty line is
// written for it.
func (w *Writer) Actions(instance int64, actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.StartAttempt:
			w.begin("SUBMIT_TO", instance)
			w.integer("rid", int64(a.ID))
			w.text("server", a.Worker)
			if a.Timeout > 0 {
				w.duration("allow_for", a.Timeout)
			}
		case dispatch.CancelAttempt:
			w.begin("STOP_ATTEMPT", instance)
			w.integer("rid", int64(a.ID))
			w.integer("shot", int64(a.Attempt))
		case dispatch.RejectRequest:
			w.begin("PUSH_BACK", instance)
			w.integer("rid", int64(a.ID))
			w.duration("come_back", a.RetryAfter)
		case dispatch.FailRequest:
			w.begin("SURRENDER", instance)
			w.integer("rid", int64(a.ID))
		case dispatch.LoadFunction:
			w.begin("HOLD_THERE", instance)
			w.text("callee", a.Function)
			w.integer("count", int64(a.Copies))
			w.text("server", a.Worker)
		case dispatch.CheckHealth:
			w.begin("HEALTH_CHECK", instance)
			w.text("server", a.Worker)
		case dispatch.SubscribeEndpoints:
			w.begin("STREAM_CHANGES", instance)
			w.integer("on", 1)
		case dispatch.SetTimer:
			w.begin("REMIND", instance)
			w.duration("delay", a.After)
			w.text("key_back", "wake")
		case dispatch.LogMessage:
			w.begin("LOG", instance)
			w.text("text", a.Text)
		}
		w.buffer.WriteByte('\n')
	}
}

// End ends the reply to the batch with this serial and writes it to the output.
func (w *Writer) End(serial string) error {
	w.buffer.WriteString("END")
	w.text("serial", serial)
	w.buffer.WriteByte('\n')
	_, err := w.buffer.WriteTo(w.out)
	return err
}
