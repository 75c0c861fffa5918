package gateway

import (
	"bytes"
	"errors"
	"io"

	"github.com/bilberrywell/bilberrywell/internal/router"
)

// errSuperseded reports an attempt beside another one that has gone on.
var errSuperseded = errors.New("the attempt before has gone on")

// startAttempt starts an attempt on the request's goroutine, which forwards its response.
func (c *callerRequest) startAttempt(cmd router.Send) *attempt {
	c.turn.Lock()
	defer c.turn.Unlock()
	c.current = c.newAttempt(cmd)
	return c.current
}

// startBeside starts an attempt beside the one whose engine is silent. It does not block.
func (c *callerRequest) startBeside(cmd router.Send) {
	c.turn.Lock()
	defer c.turn.Unlock()
	a := c.newAttempt(cmd)
	c.beside = a
	if c.settled || c.endsWithoutID || c.current != nil && c.current.state.fixed() {
		a.end(router.Superseded)
	}
	go a.runBeside()
}

// runBeside sends the request and passes the attempt to the request's goroutine once there is a part of its response to
// forward.
func (a *attempt) runBeside() {
	if a.open() && a.beginsBeside() {
		select {
		case a.opened <- a:
			return
		case <-a.ctx.Done():
			a.fail(router.Broken, a.ctx.Err())
		}
	}
	a.stop()
	a.g.step(a.finish())
}

// forwardOpened forwards the response of an attempt that has taken the place of a silent one.
func (a *attempt) forwardOpened() router.AttemptEnded {
	defer a.stop()
	a.forwardResponse()
	return a.finish()
}

// stop releases what the attempt uses after its end.
func (a *attempt) stop() {
	a.stallWatch.reset(0)
	a.cancel()
}

// beginsBeside reports whether the attempt now takes the place of the silent one.
func (a *attempt) beginsBeside() bool {
	if a.responseHead.NotRun {
		a.endRejected()
		return false
	}
	if err := a.unusable(); err != nil {
		a.fail(router.Broken, err)
		return false
	}
	if a.exchange.Response.StatusCode >= 500 && a.isBeside() {
		a.exchange.Abort()
		a.result.Outcome, a.result.Discarded = router.Errored, true
		return false
	}
	if err := a.receiveStart(); err != nil {
		a.fail(router.Broken, err)
		return false
	}
	if !a.takeOver() {
		a.fail(router.Superseded, errSuperseded)
		return false
	}
	return true
}

// receiveStart reads the response up to what is forwarded first: an event of a stream that the caller does not have, or all that is held of
// another response. One that breaks off before that does not end the silent attempt, nor does one that ends without an event: the silent
// engine may have more of them.
func (a *attempt) receiveStart() error {
	var start []byte
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := a.exchange.Read(buffer)
		start = append(start, buffer[:n]...)
		a.responseBody = io.MultiReader(bytes.NewReader(start), a.exchange)
		switch {
		case a.isStream() && a.hasNewEvent(start), !a.isStream() && len(start) > maxHeldBytes:
			return nil
		case err == io.EOF && a.isStream() && len(start) > lastEventEnd(start):
			return errTruncatedEvent
		case err == io.EOF && a.isStream() && (a.exchange.EndsWithConnection() || a.isBeside()):
			return errNoEvent
		case err == io.EOF && a.endsWithoutBody(len(start)):
			return errNoBody
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case a.isStream() && len(start) > maxEventBytes:
			return errLargeEvent
		}
	}
}

// isBeside reports whether the attempt before is still under way.
func (a *attempt) isBeside() bool {
	a.turn.Lock()
	defer a.turn.Unlock()
	return a.current != nil
}

// takeOver ends the silent attempt, if it has not gone on, and makes this one the attempt whose response is forwarded.
func (a *attempt) takeOver() bool {
	c := a.callerRequest
	c.turn.Lock()
	defer c.turn.Unlock()
	if _, ended := a.state.endedAs(); ended || c.settled || c.beside != a {
		return false
	}
	if c.begun && !(c.headerWritten.Load() && a.resumesStream()) {
		// The header was written after this attempt's response was checked, or is being written.
		return false
	}
	if c.begun && c.begunVersion != a.cmd.Engine.Version {
		// The stream began after this attempt's engine was chosen.
		return false
	}
	if silent := c.current; silent != nil {
		silent.end(router.Stalled)
		if _, ended := silent.state.endedAs(); !ended {
			return false
		}
	}
	if c.begun {
		a.state.begin(responseBegun)
	}
	c.current, c.beside = a, nil
	return true
}

// goesOn is called when more of the attempt's response is about to be forwarded, and ends the attempt beside it. It
// returns false if the attempt was ended. The caller holds turn.
func (a *attempt) goesOn(state uint32) bool {
	if !a.state.begin(state) {
		return false
	}
	if !a.begun {
		a.begun, a.begunVersion = true, a.cmd.Engine.Version
	}
	a.endBeside()
	return true
}

// delivers reports whether a complete response is to be delivered. One that has arrived is, at the end of a stop too.
func (a *attempt) delivers() bool {
	a.turn.Lock()
	defer a.turn.Unlock()
	endedAs, ended := a.state.endedAs()
	return ended && endedAs == router.Interrupted || a.goesOn(responseFixed)
}

// end ends the attempt with an outcome, on another goroutine, unless it must go on.
func (a *attempt) end(as router.Outcome) {
	if a.state.end(as) {
		a.cancel()
	}
}

// endBeside ends the attempt beside the current one. The caller holds turn.
func (c *callerRequest) endBeside() {
	if c.beside != nil {
		c.beside.end(router.Superseded)
		c.beside = nil
	}
}

// endStalled ends the attempt beside the silent one, unless it has taken that one's place.
func (c *callerRequest) endStalled(e router.EndStalledAttempt) {
	c.turn.Lock()
	defer c.turn.Unlock()
	if c.beside != nil && c.beside.cmd.Engine.ID == e.Engine {
		c.beside.end(router.Stalled)
	}
}

// interrupt ends the attempts of a request of which no part was delivered.
func (c *callerRequest) interrupt() {
	c.turn.Lock()
	defer c.turn.Unlock()
	if c.current != nil {
		c.current.end(router.Interrupted)
	}
	if c.beside != nil && !c.begun {
		c.beside.end(router.Interrupted)
	}
}

// finish returns the result of the attempt, which has ended.
func (a *attempt) finish() router.AttemptEnded {
	c := a.callerRequest
	c.turn.Lock()
	defer c.turn.Unlock()
	switch a {
	case c.current:
		c.current = nil
	case c.beside:
		c.beside = nil
	}
	if a.result.Outcome == router.Completed || a.result.Outcome == router.CallerLeft {
		c.settled = true
		c.endBeside()
	}
	a.result.NoPath = a.result.Outcome == router.Unsent && !c.g.engineDialer.Blames(a.cmd.Engine.Addr)
	a.result.Delivered, a.result.EndsWithoutID = c.headerWritten.Load(), c.endsWithoutID
	return a.result
}
