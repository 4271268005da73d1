package generator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"

	"github.com/lacewingrelay/lacewingrelay/internal/standin/replier"
)

type blockItem struct {
	Block    string `json:"block"`
	URL      string `json:"url"`
	Bytes    int    `json:"bytes,omitempty"`
	Checksum string `json:"checksum,omitempty"`
	Failed   bool   `json:"failed,omitempty"`
	// Held is set in replies for a block that was in the cache already.
	Held bool `json:"held,omitempty"`
}

type blockItems struct {
	Items []blockItem `json:"items"`
}

// Block returns the content of a block, which is a fixed function of its name.
func Block(name string, size int) []byte {
	content := make([]byte, 0, size+sha256.Size)
	seed := sha256.Sum256([]byte(name))
	for len(content) < size {
		content = append(content, seed[:]...)
		seed = sha256.Sum256(seed[:])
	}
	return content[:size]
}

// Checksum returns the checksum of a block's content.
func Checksum(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

func (s *Server) export(w http.ResponseWriter, r *http.Request) {
	var request blockItems
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for i := range request.Items {
		s.exportBlock(r.Context(), &request.Items[i])
	}
	replier.JSON(w, http.StatusOK, request)
}

func (s *Server) exportBlock(ctx context.Context, item *blockItem) {
	s.mu.Lock()
	held := s.cache.has(item.Block)
	s.mu.Unlock()
	item.Failed = true
	if !held {
		return
	}
	content := Block(item.Block, s.BlockBytes)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, item.URL, bytes.NewReader(content))
	if err != nil {
		return
	}
	response, err := s.client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	item.Bytes = len(content)
	item.Checksum = Checksum(content)
	item.Failed = response.StatusCode != http.StatusCreated
}

func (s *Server) importBlocks(w http.ResponseWriter, r *http.Request) {
	var request blockItems
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	weights := s.Weights()
	var imported []string
	fetched := 0
	for i := range request.Items {
		item := &request.Items[i]
		s.mu.Lock()
		item.Held = s.cache.has(item.Block)
		s.mu.Unlock()
		item.Failed = !item.Held && !s.fetchBlock(r.Context(), *item)
		if item.Failed {
			break
		}
		if !item.Held {
			fetched++
		}
		imported = append(imported, item.Block)
	}
	s.mu.Lock()
	if weights == s.Version {
		s.cache.insert(imported)
		s.stats.ImportedBlocks += fetched
	}
	s.mu.Unlock()
	replier.JSON(w, http.StatusOK, request)
}

func (s *Server) fetchBlock(ctx context.Context, item blockItem) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, item.URL, nil)
	if err != nil {
		return false
	}
	response, err := s.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return false
	}
	if len(content) != item.Bytes || Checksum(content) != item.Checksum {
		return false
	}
	if !bytes.Equal(content, Block(item.Block, s.BlockBytes)) {
		s.mu.Lock()
		s.stats.CorruptBlocks++
		s.mu.Unlock()
	}
	return true
}
