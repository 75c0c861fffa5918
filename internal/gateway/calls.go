package gateway

import (
	"sync"

	"github.com/bilberrywell/bilberrywell/internal/router"
)

// commandQueueSize is the capacity of the queue of commands to a request's goroutine. The router issues
// the next command only after the request has reported the result of the last one.
const commandQueueSize = 1

// callTable holds the open requests.
type callTable struct {
	mu     sync.Mutex
	lastID router.CallID
	open   map[router.CallID]openCall
	// reading holds the function that ends the reading of a request's body, and refusal what becomes of such
	// requests, or nil.
	reading map[router.CallID]func()
	refusal *router.RefuseUnreadCalls
}

// openCall is a request and the queue of its commands.
type openCall struct {
	request  *callerRequest
	commands chan router.Command
}

func (t *callTable) init() {
	t.open = make(map[router.CallID]openCall)
	t.reading = make(map[router.CallID]func())
}

// get returns an open request, or nil if it has ended.
func (t *callTable) get(id router.CallID) *callerRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open[id].request
}

// startReading sets the function that ends the reading of a request's body. It is called at once if requests that are
// not read completely are refused already.
func (t *callTable) startReading(id router.CallID, end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reading[id] = end
	if t.refusal != nil {
		end()
	}
}

// stopReading removes the function of startReading.
func (t *callTable) stopReading(id router.CallID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.reading, id)
}

// refuseUnread ends the reading of all bodies, from now on.
func (t *callTable) refuseUnread(refusal router.RefuseUnreadCalls) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusal = &refusal
	for _, end := range t.reading {
		end()
	}
}

// unreadRefusal returns what becomes of requests that are not read completely, or nil.
func (t *callTable) unreadRefusal() *router.RefuseUnreadCalls {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refusal
}

// add registers a new request and returns its id and its command queue.
func (t *callTable) add(c *callerRequest) (router.CallID, <-chan router.Command) {
	commands := make(chan router.Command, commandQueueSize)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastID++
	t.open[t.lastID] = openCall{c, commands}
	return t.lastID, commands
}

// remove removes a request that has ended.
func (t *callTable) remove(id router.CallID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, id)
	delete(t.reading, id)
}

// dispatch queues a command for its request. It drops the command if the request has ended.
func (t *callTable) dispatch(c router.Command) {
	t.mu.Lock()
	commands := t.open[c.Target()].commands
	t.mu.Unlock()
	if commands != nil {
		commands <- c
	}
}

// count returns the number of requests without a final response.
func (t *callTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}
