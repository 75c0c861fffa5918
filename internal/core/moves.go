package core

import "github.com/bilberrywell/bilberrywell/fleet"

const (
	// movesAtOnce bounds the chats that one instance moves at the same time, to leave the
	// engines' bandwidth to callers.
	movesAtOnce = 4
	// chatsPerStop bounds the chats that are moved from an engine before its stop.
	chatsPerStop = 4096
)

// chatMove is a warm chat that moves to its next choice.
type chatMove struct {
	from, to fleet.EngineID
	chat     fleet.ChatKey
}

// moveState holds the chats that wait to be moved from stopping engines.
type moveState struct {
	queue  []chatMove
	active int
}

func (m *moveState) init() { m.queue = nil }

// moveChats queues the warm chats of a stopping engine for export to their next choices.
func (c *Core) moveChats(id fleet.EngineID) {
	engine := c.engines[id]
	if engine == nil || !engine.KVTransfer {
		return
	}
	pool := c.pools[engine.service.ID]
	for _, chat := range c.homes.admission.WarmChats(id, chatsPerStop) {
		choices := pool.choices(chat)
		if len(choices) > 0 && choices[0].KVTransfer && choices[0].ID != id {
			c.homes.moves.queue = append(c.homes.moves.queue, chatMove{from: id, to: choices[0].ID, chat: chat})
		}
	}
	c.tickMoves()
}

// stoppedEngines returns the engines that a planned stop covers.
func (c *Core) stoppedEngines() map[fleet.EngineID]bool {
	stopped := make(map[fleet.EngineID]bool)
	for id, engine := range c.engines {
		if engine.stopped {
			stopped[id] = true
		}
	}
	return stopped
}

// moveFromStopped moves the warm chats of this home's engines whose stop has just begun. A
// stop may begin with the configuration that declares it.
func (c *Core) moveFromStopped(before map[fleet.EngineID]bool) {
	for _, id := range c.homes.owned {
		if c.engines[id].stopped && !before[id] {
			c.moveChats(id)
		}
	}
}

// tickMoves starts moves up to the limit. Moves from engines that run again are dropped.
func (c *Core) tickMoves() {
	m := &c.homes.moves
	for m.active < movesAtOnce && len(m.queue) > 0 {
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
