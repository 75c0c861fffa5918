package core

import "github.com/bilberrywell/bilberrywell/fleet"

const (
	// maxConcurrentMoves is the largest number of chats that one instance moves at the same
	// time. It leaves the engines' bandwidth to callers.
	maxConcurrentMoves = 4
	// maxMovedPerStop is the largest number of chats that are moved from a stopping engine.
	maxMovedPerStop = 4096
)

// chatMove is the move of a chat's KV cache from a stopping engine to the chat's next choice.
type chatMove struct {
	from, to fleet.EngineID
	chat     fleet.ChatKey
}

// moveState holds the moves that wait and the number of those that run.
type moveState struct {
	queue  []chatMove
	active int
}

func (m *moveState) init() { m.queue = nil }

// moveChats queues the moves of the chats that are confirmed to be cached on a stopping engine.
// Both engines must support the transfer of KV caches.
func (c *Core) moveChats(id fleet.EngineID) {
	engine := c.engines[id]
	if engine == nil || !engine.KVTransfer {
		return
	}
	pool := c.pools[engine.service.ID]
	for _, chat := range c.homes.admission.ConfirmedChats(id, maxMovedPerStop) {
		choices := pool.choices(chat)
		if len(choices) > 0 && choices[0].KVTransfer && choices[0].ID != id {
			c.homes.moves.queue = append(c.homes.moves.queue, chatMove{from: id, to: choices[0].ID, chat: chat})
		}
	}
	c.tickMoves()
}

// stoppedEngines returns the engines that are marked as stopped by a planned stop.
func (c *Core) stoppedEngines() map[fleet.EngineID]bool {
	stopped := make(map[fleet.EngineID]bool)
	for id, engine := range c.engines {
		if engine.stopped {
			stopped[id] = true
		}
	}
	return stopped
}

// moveChatsFromStopped moves the cached chats of this home's engines that are stopped now and were
// not before. A stop may already be active when the configuration that declares it is applied.
func (c *Core) moveChatsFromStopped(before map[fleet.EngineID]bool) {
	for _, id := range c.homes.ownedEngines {
		if c.engines[id].stopped && !before[id] {
			c.moveChats(id)
		}
	}
}

// tickMoves starts moves up to the limit. It drops moves from engines that are no longer
// stopped, moves to stopped engines, and moves of removed engines.
func (c *Core) tickMoves() {
	m := &c.homes.moves
	for m.active < maxConcurrentMoves && len(m.queue) > 0 {
		move := m.queue[0]
		m.queue = m.queue[1:]
		from, to := c.engines[move.from], c.engines[move.to]
		if from == nil || to == nil || !from.stopped || to.stopped {
			continue
		}
		m.active++
		c.emit(MoveChat{From: from.target(), To: to.target(), Chat: move.chat})
	}
}

func (c *Core) chatMoved(ev ChatMoved) {
	c.homes.moves.active--
	if ev.Err == nil {
		c.count(CounterChatsMoved, 1)
	}
	c.tickMoves()
}
