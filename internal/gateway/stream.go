package gateway

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/bilberrywell/bilberrywell/internal/router"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var (
	errTornEvent  = errors.New("the stream ended inside an event")
	errLargeEvent = errors.New("an event is too large")
)

// stream passes on whole events as they arrive. The head is held back until the first event, so
// that an engine lost before it can be replaced. An event is never passed on in part: the stream
// may go on at another engine.
func (a *attempt) stream() {
	buffer := make([]byte, copyBufferBytes)
	var pending []byte
	for {
		n, err := a.x.Read(buffer)
		pending = append(pending, buffer[:n]...)
		a.progressed()
		if end := lastEventEnd(pending); end > 0 {
			if !a.passEvents(pending[:end]) {
				return
			}
			pending = append(pending[:0], pending[end:]...)
		}
		switch {
		case err == io.EOF && len(pending) > 0:
			a.fail(router.Broken, errTornEvent)
			return
		case err == io.EOF:
			a.endStream()
			return
		case err != nil:
			a.fail(router.Broken, err)
			return
		case len(pending) > maxEventBytes:
			a.fail(router.Broken, errLargeEvent)
			return
		}
	}
}

// endStream ends a stream that the engine ended as complete.
func (a *attempt) endStream() {
	if !a.started {
		a.writeHead(a.x.Response.StatusCode, a.x.Response.Header, -1)
	}
	a.x.Finish()
	a.end.Outcome = router.Completed
}

// passEvents passes on whole events. It is false when the attempt has ended.
func (a *attempt) passEvents(events []byte) bool {
	if a.cmd.Route.Resumable {
		events = a.skipDelivered(events)
	}
	if len(events) == 0 {
		return true
	}
	if !a.started {
		a.writeHead(a.x.Response.StatusCode, a.x.Response.Header, -1)
	}
	if !a.pass(events) {
		return false
	}
	if err := a.control.Flush(); err != nil {
		a.fail(router.CallerLeft, err)
		return false
	}
	return true
}

// skipDelivered drops events that the caller already has and notes the id of the last one.
func (a *attempt) skipDelivered(events []byte) []byte {
	rest := events
	for len(rest) > 0 {
		end := firstEventEnd(rest)
		if id, ok := eventID(rest[:end]); ok {
			if notAfter(id, a.lastEvent) {
				events = rest[end:]
			} else {
				a.lastEvent = string(id)
			}
		}
		rest = rest[end:]
	}
	return events
}

// notAfter reports whether a numeric id is at most the last one.
func notAfter(id []byte, last string) bool {
	a, errA := strconv.ParseInt(string(id), 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA == nil && errB == nil && a <= b
}

var (
	eventEnd = []byte("\n\n")
	crlfEnd  = []byte("\r\n\r\n")
	idField  = []byte("id:")
)

// firstEventEnd returns the length of the first event, or that of data without a whole one.
func firstEventEnd(data []byte) int {
	lf, crlf := bytes.Index(data, eventEnd), bytes.Index(data, crlfEnd)
	switch {
	case lf >= 0 && (crlf < 0 || lf < crlf):
		return lf + len(eventEnd)
	case crlf >= 0:
		return crlf + len(crlfEnd)
	}
	return len(data)
}

// lastEventEnd returns the length of the whole events at the start of data.
func lastEventEnd(data []byte) int {
	end := 0
	if at := bytes.LastIndex(data, eventEnd); at >= 0 {
		end = at + len(eventEnd)
	}
	if at := bytes.LastIndex(data, crlfEnd); at >= 0 {
		end = max(end, at+len(crlfEnd))
	}
	return end
}

// eventID returns the id of an event.
func eventID(event []byte) ([]byte, bool) {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			return bytes.TrimSpace(value), true
		}
	}
	return nil, false
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }
