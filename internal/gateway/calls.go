package gateway

import (
	"sync"

	"github.com/bilberrywell/bilberrywell/internal/router"
)

// commandQueue is the number of commands that can wait for a request's goroutine. The reducer
// sends the next one only after the request has reported back.
const commandQueue = 1

// callTable connects the requests' goroutines with the reducer.
type callTable struct {
	mu   sync.Mutex
	last router.CallID
	open map[router.CallID]chan router.Command
}

func (t *callTable) init() {
	t.open = make(map[router.CallID]chan router.Command)
}

// add returns the id and the commands of a new request.
func (t *callTable) add() (router.CallID, <-chan router.Command) {
	commands := make(chan router.Command, commandQueue)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last++
	t.open[t.last] = commands
	return t.last, commands
}

// remove forgets a request that has ended.
func (t *callTable) remove(id router.CallID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, id)
}

// command hands a command to its request. One that comes after the request's end is dropped.
func (t *callTable) command(c router.Command) {
	t.mu.Lock()
	commands := t.open[c.Target()]
	t.mu.Unlock()
	if commands != nil {
		commands <- c
	}
}

// count returns the number of requests without a final answer.
func (t *callTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}
