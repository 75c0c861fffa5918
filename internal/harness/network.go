package harness

import (
	"sort"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// frameOverheadBytes is the size of the WebSocket header of a masked frame of up to 64 KiB.
const frameOverheadBytes = 8

// link is an unordered pair of instances.
type link struct{ a, b fleet.InstanceID }

func linkBetween(a, b fleet.InstanceID) link {
	if a > b {
		a, b = b, a
	}
	return link{a, b}
}

// Traffic counts sent bytes, with frame headers, and messages by message kind.
type Traffic struct {
	Bytes    map[wire.Kind]int
	Messages map[wire.Kind]int
}

func (t *Traffic) init() {
	t.Bytes = make(map[wire.Kind]int)
	t.Messages = make(map[wire.Kind]int)
}

// TotalBytes returns the bytes sent in messages of all kinds.
func (t *Traffic) TotalBytes() int {
	sum := 0
	for _, n := range t.Bytes {
		sum += n
	}
	return sum
}

// Node returns an instance by its id, or nil.
func (h *Harness) Node(id fleet.InstanceID) *Node {
	for _, n := range h.Nodes {
		if n.ID == id {
			return n
		}
	}
	return nil
}

// send counts a message and delivers it after the latency. The message is lost when the link
// is closed or cut at the time of sending or of delivery.
func (h *Harness) send(from *Node, e core.SendMessage) {
	frame, err := wire.Append(nil, e.Message)
	if err != nil {
		panic(err)
	}
	kind := e.Message.Kind()
	h.PeerTraffic.Bytes[kind] += len(frame) + frameOverheadBytes
	h.PeerTraffic.Messages[kind]++
	pair := linkBetween(from.ID, e.To)
	to := h.Node(e.To)
	if to == nil || !h.openLinks[pair] || h.cutLinks[pair] {
		return
	}
	messages, err := wire.Decode(frame)
	if err != nil {
		panic(err)
	}
	incarnation := from.incarnation
	for _, m := range messages {
		deliver := func() {
			if h.openLinks[pair] && !h.cutLinks[pair] {
				to.Step(core.PeerMessage{From: from.ID, Incarnation: incarnation, Message: m})
			}
		}
		h.After(h.Config.Latency, deliver)
		if h.Now() < h.duplicateUntil {
			extraDelay := time.Duration(h.Rand.Int64N(int64(maxDuplicateDelay)))
			h.After(h.Config.Latency+extraDelay, deliver)
		}
	}
}

// maxDuplicateDelay bounds the delay of a duplicate after the original message.
const maxDuplicateDelay = 50 * time.Millisecond

// Duplicate makes the network deliver every message sent in the next d twice. The second copy
// is late and may be out of order.
func (h *Harness) Duplicate(d time.Duration) { h.duplicateUntil = h.Now() + d }

// setPeers replaces the instance's set of peers and opens the links that can be opened.
func (n *Node) setPeers(e core.SetPeers) {
	n.peers = make(map[fleet.InstanceID]bool, len(e.Peers))
	for _, p := range e.Peers {
		n.peers[p.ID] = true
		n.h.connect(n, n.h.Node(p.ID))
	}
}

// connect opens a link if both processes are up, b is not paused and the link is not cut. Both
// reducers learn of it after a round trip.
func (h *Harness) connect(a, b *Node) {
	if b == nil || !a.Up || !b.Up || b.pausedUntil > h.Now() {
		return
	}
	pair := linkBetween(a.ID, b.ID)
	if h.openLinks[pair] || h.cutLinks[pair] {
		return
	}
	h.openLinks[pair] = true
	h.linkUp(a, b)
	h.linkUp(b, a)
}

func (h *Harness) linkUp(at, peer *Node) {
	at.stepAfter(2*h.Config.Latency, core.PeerUp{
		Instance:    peer.ID,
		Incarnation: peer.incarnation,
		Addr:        string(peer.ID),
		DataCentre:  peer.DataCentre,
		Region:      peer.Region,
	})
}

// closeLinks closes all links of an instance.
func (h *Harness) closeLinks(n *Node) {
	for _, pair := range h.linksOf(n) {
		h.closeLink(pair)
	}
}

// linksOf returns the open links of an instance in a fixed order, to keep sessions
// deterministic.
func (h *Harness) linksOf(n *Node) []link {
	var pairs []link
	for pair, open := range h.openLinks {
		if open && (pair.a == n.ID || pair.b == n.ID) {
			pairs = append(pairs, pair)
		}
	}
	sort.Slice(pairs, func(i, j int) bool {
		if pairs[i].a != pairs[j].a {
			return pairs[i].a < pairs[j].a
		}
		return pairs[i].b < pairs[j].b
	})
	return pairs
}

func (h *Harness) closeLink(pair link) {
	if !h.openLinks[pair] {
		return
	}
	delete(h.openLinks, pair)
	a, b := h.Node(pair.a), h.Node(pair.b)
	a.stepAfter(h.Config.Latency, core.PeerDown{Instance: b.ID, Incarnation: b.incarnation})
	b.stepAfter(h.Config.Latency, core.PeerDown{Instance: a.ID, Incarnation: a.incarnation})
}

// Cut drops all messages between two instances from now on. The link closes on both sides
// after linkSilence, unless Heal ends the cut before.
func (h *Harness) Cut(a, b *Node) {
	pair := linkBetween(a.ID, b.ID)
	h.cutLinks[pair] = true
	h.lastDisruption = h.Now()
	h.After(linkSilence, func() {
		if h.cutLinks[pair] {
			h.closeLink(pair)
		}
	})
}

// Heal ends a cut and reopens the link if it was closed.
func (h *Harness) Heal(a, b *Node) {
	delete(h.cutLinks, linkBetween(a.ID, b.ID))
	h.lastDisruption = h.Now()
	h.connect(a, b)
}
