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
	// Cached is set in responses for a block that was in the cache already.
	Cached bool `json:"held,omitempty"`
}

// blockTransfer is the body of export and import requests and of their responses.
type blockTransfer struct {
	Items []blockItem `json:"items"`
}

// Block returns the content of a block, size bytes that are a deterministic
// function of the block ID.
func Block(id string, size int) []byte {
	content := make([]byte, 0, size+sha256.Size)
	seed := sha256.Sum256([]byte(id))
	for len(content) < size {
		content = append(content, seed[:]...)
		seed = sha256.Sum256(seed[:])
	}
	return content[:size]
}

// Checksum returns the SHA-256 checksum of a block's content, in hexadecimal.
func Checksum(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

func (s *Server) exportBlocks(w http.ResponseWriter, r *http.Request) {
	var request blockTransfer
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
	cached := s.cache.contains(item.Block)
	s.mu.Unlock()
	item.Failed = true
	if !cached {
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
	var request blockTransfer
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
		item.Cached = s.cache.contains(item.Block)
		s.mu.Unlock()
		item.Failed = !item.Cached && !s.fetchBlock(r.Context(), *item)
		if item.Failed {
			// The cache is looked up by prefix, so later blocks would be of no use.
			// Their items stay as they are in the request.
			break
		}
		if !item.Cached {
			fetched++
		}
		imported = append(imported, item.Block)
	}
	s.mu.Lock()
	// If the weights changed meanwhile, the blocks are not valid for the new ones.
	if weights == s.LoadedWeights {
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
	// A block whose checksum matches but whose content belongs to another ID is
	// counted and imported.
	if !bytes.Equal(content, Block(item.Block, s.BlockBytes)) {
		s.mu.Lock()
		s.stats.CorruptBlocks++
		s.mu.Unlock()
	}
	return true
}
