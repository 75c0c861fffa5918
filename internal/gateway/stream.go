package gateway

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/router"
)

// maxEventBytes bounds one event of a stream, which holds a few tokens. An instance may hold one of each
// open stream in memory.
const maxEventBytes = 256 << 10

var (
	errTruncatedEvent = errors.New("the stream ended inside an event")
	errLargeEvent     = errors.New("stream event exceeds 256 KiB")
	errNoEvent        = errors.New("the stream ended before the next event")
)

// forwardStream forwards complete events as they arrive. The header is held back until the first event,
// so that another engine can replace one that is lost before it. An event is never forwarded in part,
// because the stream may be resumed at another engine.
func (a *attempt) forwardStream() {
	buffer := make([]byte, copyBufferBytes)
	var pending []byte
	var pace eventPace
	defer func() { a.result.EventGap = pace.meanGap() }()
	for {
		n, err := a.responseBody.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if end := lastEventEnd(pending); end > 0 {
			a.stallWatch.reset(a.cmd.GapTimeout)
			pace.add(a.g.now(), bytes.Count(pending[:end], eventEnd)+bytes.Count(pending[:end], crlfEventEnd))
			if !a.forwardEvents(pending[:end]) {
				return
			}
			a.reportFirstEvent()
			pending = append(pending[:0], pending[end:]...)
		}
		if err != nil && len(pending) > 0 && a.headerWritten.Load() {
			a.eventDue = true
		}
		switch {
		case err == io.EOF && len(pending) > 0:
			a.fail(router.Broken, errTruncatedEvent)
			return
		case err == io.EOF && !a.eventForwarded && (a.eventDue || a.exchange.EndsWithConnection()):
			// Without a new event the end of the connection can't be told from a break.
			a.fail(router.Broken, errNoEvent)
			return
		case err == io.EOF:
			a.finishStream()
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

// reportFirstEvent reports the first event of the attempt after it was forwarded, if the router asked for it.
func (a *attempt) reportFirstEvent() {
	if a.cmd.ReportFirstEvent {
		a.cmd.ReportFirstEvent = false
		a.g.step(router.FirstEventReceived{Call: a.id, Engine: a.cmd.Engine.ID})
	}
}

// eventPace measures the time between the events of a stream.
type eventPace struct {
	first, last time.Duration
	// events is the number of events after those that arrived first.
	events int
}

// add records that n events have arrived.
func (p *eventPace) add(now time.Duration, n int) {
	if p.first == 0 {
		p.first, n = now, 0
	}
	p.last = now
	p.events += n
}

// meanGap returns the mean time between events, or 0 if it is unknown.
func (p *eventPace) meanGap() time.Duration {
	if p.events == 0 {
		return 0
	}
	return (p.last - p.first) / time.Duration(p.events)
}

// finishStream ends a stream that the engine has ended completely.
func (a *attempt) finishStream() {
	if a.headerWritten.Load() {
		if !a.delivers() {
			a.fail(router.Broken, errEnded)
			return
		}
	} else if !a.beginResponse(responseFixed, -1) {
		return
	}
	// net/http writes the end of the response, possibly long after the last event.
	a.boundWrites()
	a.exchange.Finish()
	a.result.Outcome = router.Completed
}

// forwardEvents forwards complete events. It returns false if the attempt has ended.
func (a *attempt) forwardEvents(events []byte) bool {
	events, ended := a.takeEvents(events)
	if ended {
		a.fail(router.Broken, errEnded)
		return false
	}
	if len(events) == 0 {
		return true
	}
	if !a.headerWritten.Load() {
		a.writeHead(a.exchange.Response.StatusCode, a.exchange.Response.Header, -1)
	}
	if !a.forwardPart(events) {
		return false
	}
	a.eventForwarded, a.eventDue = true, false
	if err := a.responseController.Flush(); err != nil {
		a.fail(router.CallerLeft, err)
		return false
	}
	return true
}

// takeEvents returns the events that the caller does not have yet, and whether the attempt was ended.
func (a *attempt) takeEvents(events []byte) (rest []byte, ended bool) {
	a.turn.Lock()
	defer a.turn.Unlock()
	lastEvent, endsWithoutID := a.lastEvent, a.endsWithoutID
	if a.cmd.Route.Resumable {
		events = a.skipDelivered(events)
	}
	if len(events) == 0 {
		return nil, false
	}
	state := responseBegun
	if a.endsWithoutID {
		// No other engine can go on with the stream, so that the engine may take its time.
		state = responseFixed
		a.stallWatch.reset(0)
	}
	if !a.goesOn(state) {
		a.lastEvent, a.endsWithoutID = lastEvent, endsWithoutID
		return nil, true
	}
	return events, false
}

// skipDelivered removes the first events of the attempt if the caller already has them, and records the id of the last event that
// remains, or that it has none.
func (a *attempt) skipDelivered(events []byte) []byte {
	rest := events
	for len(rest) > 0 {
		end := firstEventEnd(rest)
		id, ok := eventID(rest[:end])
		switch {
		case ok && a.deliveredTo != "" && idAtMost(id, a.deliveredTo):
			events = rest[end:]
		case ok && len(id) > 0:
			a.lastEvent, a.endsWithoutID, a.deliveredTo = string(id), false, ""
		case hasData(rest[:end]):
			// An empty id takes back the one before.
			a.endsWithoutID = true
		}
		rest = rest[end:]
	}
	return events
}

// hasNewEvent reports whether data, the start of the attempt's stream, has a complete event that the caller does not have.
func (a *attempt) hasNewEvent(data []byte) bool {
	for rest := data[:lastEventEnd(data)]; len(rest) > 0; {
		end := firstEventEnd(rest)
		id, ok := eventID(rest[:end])
		delivered := a.cmd.Route.Resumable && ok && a.deliveredTo != "" && idAtMost(id, a.deliveredTo)
		if hasData(rest[:end]) && !delivered {
			return true
		}
		rest = rest[end:]
	}
	return false
}

// idAtMost reports whether both ids are numeric and id is at most last.
func idAtMost(id []byte, last string) bool {
	a, errA := strconv.ParseInt(string(id), 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA == nil && errB == nil && a <= b
}

var (
	eventEnd     = []byte("\n\n")
	crlfEventEnd = []byte("\r\n\r\n")
	idField      = []byte("id:")
	dataField    = []byte("data")
)

// firstEventEnd returns the length of the first event, or the length of data if no event is complete.
func firstEventEnd(data []byte) int {
	lf, crlf := bytes.Index(data, eventEnd), bytes.Index(data, crlfEventEnd)
	switch {
	case lf >= 0 && (crlf < 0 || lf < crlf):
		return lf + len(eventEnd)
	case crlf >= 0:
		return crlf + len(crlfEventEnd)
	}
	return len(data)
}

// lastEventEnd returns the length of the complete events at the start of data.
func lastEventEnd(data []byte) int {
	end := 0
	if at := bytes.LastIndex(data, eventEnd); at >= 0 {
		end = at + len(eventEnd)
	}
	if at := bytes.LastIndex(data, crlfEventEnd); at >= 0 {
		end = max(end, at+len(crlfEventEnd))
	}
	return end
}

// hasData reports whether an event has data. Comments have none.
func hasData(event []byte) bool {
	return bytes.HasPrefix(event, dataField) || bytes.Contains(event, append([]byte("\n"), dataField...))
}

// eventID returns the id of an event, of which the last one counts.
func eventID(event []byte) (id []byte, ok bool) {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if value, isID := bytes.CutPrefix(line, idField); isID {
			id, ok = bytes.TrimSpace(value), true
		}
	}
	return id, ok
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }
