package enginesim

import "container/list"

// link is one message in the hash chain of a conversation.
type link struct {
	Hash   uint64 `json:"hash"`
	Tokens int    `json:"tokens"`
}

// node is a cached link. Its parent is the link before it, or 0.
type node struct {
	link
	parent uint64
	// tips are the chats whose longest cached prefix ends here.
	tips map[string]bool
}

// cache is a prompt cache: the least recently used prefixes leave when it is full. It is
// not safe for concurrent use.
type cache struct {
	limit  int
	tokens int
	nodes  map[uint64]*list.Element
	recent *list.List
	tips   map[string]uint64
	notify func(kind, chat string)
}

func newCache(limit int, notify func(kind, chat string)) *cache {
	return &cache{
		limit:  limit,
		nodes:  map[uint64]*list.Element{},
		recent: list.New(),
		tips:   map[string]uint64{},
		notify: notify,
	}
}

// lookup returns the tokens of the longest cached prefix of chain and marks it as used.
func (c *cache) lookup(chain []link) int {
	length, tokens := 0, 0
	for length < len(chain) && c.nodes[chain[length].Hash] != nil {
		tokens += chain[length].Tokens
		length++
	}
	c.touch(chain[:length])
	return tokens
}

// touch marks a prefix as used. The first link ends as the most recent, so that a prefix
// never leaves before its continuations.
func (c *cache) touch(chain []link) {
	for i := len(chain) - 1; i >= 0; i-- {
		c.recent.MoveToFront(c.nodes[chain[i].Hash])
	}
}

// store caches chain as the conversation of chat and evicts what no longer fits.
func (c *cache) store(chain []link, chat string) {
	if len(chain) == 0 {
		return
	}
	parent := uint64(0)
	for _, l := range chain {
		c.insert(l, parent)
		parent = l.Hash
	}
	c.touch(chain)
	c.setTip(chat, parent)
	c.notify(EventStored, chat)
	for c.tokens > c.limit {
		c.evict(c.recent.Back())
	}
}

func (c *cache) insert(l link, parent uint64) {
	if c.nodes[l.Hash] != nil {
		return
	}
	c.nodes[l.Hash] = c.recent.PushFront(&node{l, parent, map[string]bool{}})
	c.tokens += l.Tokens
}

func (c *cache) setTip(chat string, hash uint64) {
	if old := c.nodes[c.tips[chat]]; old != nil {
		delete(old.Value.(*node).tips, chat)
	}
	c.tips[chat] = hash
	c.nodes[hash].Value.(*node).tips[chat] = true
}

func (c *cache) evict(element *list.Element) {
	n := element.Value.(*node)
	c.recent.Remove(element)
	delete(c.nodes, n.Hash)
	c.tokens -= n.Tokens
	for chat := range n.tips {
		delete(c.tips, chat)
		c.notify(EventEvicted, chat)
	}
}

func (c *cache) clear() {
	for c.recent.Len() > 0 {
		c.evict(c.recent.Back())
	}
}

// chain returns the cached conversation of chat, or nil.
func (c *cache) chain(chat string) []link {
	var reversed []link
	for hash := c.tips[chat]; c.nodes[hash] != nil; {
		n := c.nodes[hash].Value.(*node)
		reversed = append(reversed, n.link)
		hash = n.parent
	}
	chain := make([]link, len(reversed))
	for i, l := range reversed {
		chain[len(reversed)-1-i] = l
	}
	return chain
}
