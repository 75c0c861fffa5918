//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"sync"

	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
	"github.com/bilberrywell/bilberrywell/platform/standin"
)

// maxPageBytes bounds the values on a page of a list, as the platform's page says: about 1 MB.
const maxPageBytes = 1 << 20

// oddPrefix is the prefix of the keys of the other writer. They are the last ones in order.
const oddPrefix = "servers/odd-"

// storeServer serves the project's stand-in of the store, with pages of a list bounded by their size. The large entries
// of the other writer are kept encoded beside it, so that a page takes milliseconds.
type storeServer struct {
	*standin.Store
	Addr   string
	server *simutil.Server

	mu  sync.Mutex
	odd []listedItem
}

// listedItem is a key with its item as a list contains it.
type listedItem struct {
	key  string
	item json.RawMessage
}

type listPage struct {
	Items []json.RawMessage `json:"items"`
	More  bool              `json:"has_more"`
	At    uint64            `json:"at"`
}

func serveStore() (*storeServer, error) {
	s := &storeServer{Store: standin.NewStore()}
	server, err := simutil.Start("127.0.0.1:0", &http.Server{Handler: http.HandlerFunc(s.serve)})
	if err != nil {
		s.Store.Close()
		return nil, err
	}
	s.Addr, s.server = server.Addr, server
	return s, nil
}

func (s *storeServer) close() {
	s.Store.Close()
	_ = s.server.Close()
}

// putOdd writes an entry of the other writer. Keys must be written in their order, each once.
func (s *storeServer) putOdd(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := s.Put(key, value)
	item, _ := json.Marshal(map[string]any{"key": key, "value": value, "revision": revision, "created": revision})
	s.odd = append(s.odd, listedItem{key, item})
}

// removeOdd removes an entry of the other writer.
func (s *storeServer) removeOdd(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Delete(key)
	s.odd = slices.DeleteFunc(s.odd, func(i listedItem) bool { return i.key == key })
}

func (s *storeServer) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/kv-range" || r.URL.Query().Get("prefix") != "" {
		s.Store.ServeHTTP(w, r)
		return
	}
	page := s.page(r.URL.Query().Get("after_revision"))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "0")
	_ = json.NewEncoder(w).Encode(page)
}

// page returns the page of all keys that begins after a key.
func (s *storeServer) page(after string) listPage {
	var items []listedItem
	var page listPage
	for _, prefix := range []string{"bilberrywell/", "op/", "servers/i-"} {
		query := url.Values{"prefix": {prefix}, "after_revision": {after}}
		answer := httptest.NewRecorder()
		s.Store.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/api/kv-range?"+query.Encode(), nil))
		var part listPage
		_ = json.Unmarshal(answer.Body.Bytes(), &part)
		if page.At == 0 {
			page.At = part.At
		}
		for _, item := range part.Items {
			var named struct {
				Key string `json:"key"`
			}
			_ = json.Unmarshal(item, &named)
			items = append(items, listedItem{named.Key, item})
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	bytes := 0
	for _, i := range append(items, s.odd...) {
		if i.key <= after {
			continue
		}
		if bytes += len(i.item); bytes > maxPageBytes && len(page.Items) > 0 {
			page.More = true
			break
		}
		page.Items = append(page.Items, i.item)
	}
	return page
}
