package simwire

import (
	"bufio"
	"io"
	"strconv"
	"time"

	"github.com/topazfront/topazfront/dispatch"
)

// Writer writes replies.
type Writer struct{ out *bufio.Writer }

// NewWriter returns a Writer of replies to w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(w, 1<<20)} }

func (w *Writer) line(name string, router int64) {
	w.out.WriteString(name)
	w.integer("router", router)
}

func (w *Writer) text(name, value string) {
	w.out.WriteByte(' ')
	w.out.WriteString(name)
	w.out.WriteByte('=')
	w.out.WriteString(value)
}

func (w *Writer) integer(name string, v int64) { w.text(name, strconv.FormatInt(v, 10)) }

func (w *Writer) duration(name string, v time.Duration) { w.integer(name, v.Microseconds()) }

// Actions writes what one instance does.
func (w *Writer) Actions(router int64, actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.StartAttempt:
			w.line("SUBMIT_TO", router)
			w.integer("rid", int64(a.ID))
			w.text("server", a.Worker)
			if a.Timeout > 0 {
				w.duration("allow_for", a.Timeout)
			}
		case dispatch.CancelAttempt:
			w.line("STOP_ATTEMPT", router)
			w.integer("rid", int64(a.ID))
			w.integer("shot", int64(a.Attempt))
		case dispatch.RejectRequest:
			w.line("PUSH_BACK", router)
			w.integer("rid", int64(a.ID))
			w.duration("come_back", a.RetryAfter)
		case dispatch.FailRequest:
			w.line("SURRENDER", router)
			w.integer("rid", int64(a.ID))
		case dispatch.LoadFunction:
			w.line("HOLD_THERE", router)
			w.text("callee", a.Function)
			w.integer("count", int64(a.Copies))
			w.text("server", a.Worker)
		case dispatch.CheckHealth:
			w.line("HEALTH_CHECK", router)
			w.text("server", a.Worker)
		case dispatch.SubscribeEndpoints:
			w.line("STREAM_CHANGES", router)
			w.integer("on", 1)
		case dispatch.SetTimer:
			w.line("REMIND", router)
			w.duration("delay", a.After)
			w.text("key_back", "wake")
		case dispatch.LogNote:
			w.line("LOG", router)
			w.text("text", a.Text)
		}
		w.out.WriteByte('\n')
	}
}

// End closes the reply to a batch and flushes it.
func (w *Writer) End(serial string) error {
	w.out.WriteString("END")
	w.text("serial", serial)
	w.out.WriteByte('\n')
	return w.out.Flush()
}
