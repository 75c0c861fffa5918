//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"

	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
	"github.com/bilberrywell/bilberrywell/platform/standin"
)

// maxPageBytes bounds the values on a page of a list, as the platform's page says: about 1 MB.
const maxPageBytes = 1 << 20

// storeServer serves the project's stand-in of the store, with pages of a list bounded by their size.
type storeServer struct {
	*standin.Store
	Addr   string
	server *simutil.Server
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

func (s *storeServer) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/kv-range" {
		s.Store.ServeHTTP(w, r)
		return
	}
	whole := httptest.NewRecorder()
	s.Store.ServeHTTP(whole, r)
	var page struct {
		Items []json.RawMessage `json:"items"`
		More  bool              `json:"has_more"`
		At    uint64            `json:"at"`
	}
	if whole.Code != http.StatusOK || json.Unmarshal(whole.Body.Bytes(), &page) != nil {
		w.WriteHeader(whole.Code)
		return
	}
	bytes := 0
	for i, item := range page.Items {
		if bytes += len(item); bytes > maxPageBytes && i > 0 {
			page.Items, page.More = page.Items[:i], true
			break
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", whole.Header().Get("Store-Era"))
	_ = json.NewEncoder(w).Encode(page)
}
