package gateway

import (
	"sync"

	"github.com/bilberrywell/bilberrywell/internal/router"
)

// commandQueueSize is the capacity of the queue of commands to a request's goroutine. The router issues
// the next command only after the request has reported the result of the last one.
const commandQueueSize = 1

// callTable holds the command queue of each open request.
type callTable struct {
	mu     sync.Mutex
	lastID router.CallID
	open   map[router.CallID]chan router.Command
	// stalled holds the function that ends the running attempt of a request as stalled.
	stalled map[router.CallID]func()
}

func (t *callTable) init() {
	t.open = make(map[router.CallID]chan router.Command)
	t.stalled = make(map[router.CallID]func())
}

// setStalled sets the function that endStalled calls for a request; nil removes it.
func (t *callTable) setStalled(id router.CallID, end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if end == nil {
		delete(t.stalled, id)
		return
	}
	t.stalled[id] = end
}

// endStalled ends the running attempt of a request as stalled.
func (t *callTable) endStalled(id router.CallID) {
	t.mu.Lock()
	end := t.stalled[id]
	t.mu.Unlock()
	if end != nil {
		end()
	}
}

// add registers a new request and returns its id and its command queue.
func (t *callTable) add() (router.CallID, <-chan router.Command) {
	commands := make(chan router.Command, commandQueueSize)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastID++
	t.open[t.lastID] = commands
	return t.lastID, commands
}

// remove removes a request that has ended.
func (t *callTable) remove(id router.CallID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, id)
}

// dispatch queues a command for its request. It drops the command if the request has ended.
func (t *callTable) dispatch(c router.Command) {
	t.mu.Lock()
	commands := t.open[c.Target()]
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
