package enginesim

import "container/list"

// link is one message in the hash chain of a conversation. Hash identifies the prefix that ends
// with the message, and Tokens is the length of the message.
type link struct {
	Hash   uint64 `json:"hash"`
	Tokens int    `json:"tokens"`
}

// cacheNode is a cached link. parent is the hash of the link before it, or 0.
type cacheNode struct {
	link
	parent uint64
	// chatsEndingHere holds the chats whose longest cached prefix ends with this link.
	chatsEndingHere map[string]bool
}

// cache is a prompt cache that evicts the least recently used prefixes when it is full. limit and
// tokens are its maximum and current size in tokens. lastHash maps each chat to the hash of its
// longest cached prefix. notify is called with each event of a chat. The cache is not safe for
// concurrent use.
type cache struct {
	limit    int
	tokens   int
	nodes    map[uint64]*list.Element
	lru      *list.List
	lastHash map[string]uint64
	notify   func(kind, chat string)
}

func newCache(limit int, notify func(kind, chat string)) *cache {
	return &cache{
		limit:    limit,
		nodes:    map[uint64]*list.Element{},
		lru:      list.New(),
		lastHash: map[string]uint64{},
		notify:   notify,
	}
}

// lookup returns the number of tokens in the longest cached prefix of chain and marks the prefix
// as used.
func (c *cache) lookup(chain []link) int {
	length, tokens := 0, 0
	for length < len(chain) && c.nodes[chain[length].Hash] != nil {
		tokens += chain[length].Tokens
		length++
	}
	c.markUsed(chain[:length])
	return tokens
}

// markUsed marks all links of a prefix as used. The first link becomes the most recently used, so
// that a prefix is never evicted before its continuations.
func (c *cache) markUsed(chain []link) {
	for i := len(chain) - 1; i >= 0; i-- {
		c.lru.MoveToFront(c.nodes[chain[i].Hash])
	}
}

// store caches chain as the conversation of chat and evicts links until the limit is met.
func (c *cache) store(chain []link, chat string) {
	if len(chain) == 0 {
		return
	}
	parent := uint64(0)
	for _, l := range chain {
		c.insert(l, parent)
		parent = l.Hash
	}
	c.markUsed(chain)
	c.setLastHash(chat, parent)
	c.notify(EventStored, chat)
	for c.tokens > c.limit {
		c.evict(c.lru.Back())
	}
}

func (c *cache) insert(l link, parent uint64) {
	if c.nodes[l.Hash] != nil {
		return
	}
	c.nodes[l.Hash] = c.lru.PushFront(&cacheNode{l, parent, map[string]bool{}})
	c.tokens += l.Tokens
}

func (c *cache) setLastHash(chat string, hash uint64) {
	if old := c.nodes[c.lastHash[chat]]; old != nil {
		delete(old.Value.(*cacheNode).chatsEndingHere, chat)
	}
	c.lastHash[chat] = hash
	c.nodes[hash].Value.(*cacheNode).chatsEndingHere[chat] = true
}

func (c *cache) evict(element *list.Element) {
	n := element.Value.(*cacheNode)
	c.lru.Remove(element)
	delete(c.nodes, n.Hash)
	c.tokens -= n.Tokens
	for chat := range n.chatsEndingHere {
		delete(c.lastHash, chat)
		c.notify(EventEvicted, chat)
	}
}

func (c *cache) clear() {
	for c.lru.Len() > 0 {
		c.evict(c.lru.Back())
	}
}

// cachedChain returns the longest cached prefix of chat, or an empty chain.
func (c *cache) cachedChain(chat string) []link {
	var reversed []link
	for hash := c.lastHash[chat]; c.nodes[hash] != nil; {
		n := c.nodes[hash].Value.(*cacheNode)
		reversed = append(reversed, n.link)
		hash = n.parent
	}
	chain := make([]link, len(reversed))
	for i, l := range reversed {
		chain[len(reversed)-1-i] = l
	}
	return chain
}
