package upstream

import "time"

// AwaitCompanion waits until the companion of the response is open.
func (x *Exchange) AwaitCompanion() {
	for {
		x.companion.mu.Lock()
		conn := x.companion.conn
		x.companion.mu.Unlock()
		if conn != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}
