// Package fingerprinter names the blocks of a prompt by a chain of hashes.
//
// The chain is seeded by team, model and weights, so blocks of other teams and
// of other weights never have the same name: isolation needs no check.
//
// # Usage
//
//	seed := fingerprinter.Seed{Team: "acme", Model: "usta-llm", Weights: "w1"}
//	blocks := fingerprinter.Chain(seed, prompt)
package fingerprinter

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

const (
	// ChunkBytes is the size of the prompt part that one block covers.
	ChunkBytes = 4096
	// BlockTokens is the number of tokens that one block covers.
	BlockTokens = 1024
	// TokenBytes is the number of prompt bytes that count as one token.
	TokenBytes = 4

	nameBytes = 16
)

// Seed keeps the chains of different owners apart.
type Seed struct {
	Team    string
	Model   string
	Weights string
}

// Block is the name of one block.
type Block string

// Chain returns the names of a prompt's whole blocks; each name depends on all
// of the prompt before its end.
func Chain(seed Seed, prompt []byte) []Block {
	blocks := make([]Block, 0, len(prompt)/ChunkBytes)
	state := seed.sum()
	for len(prompt) >= ChunkBytes {
		link := sha256.New()
		link.Write(state[:])
		link.Write(prompt[:ChunkBytes])
		state = [sha256.Size]byte(link.Sum(nil))
		blocks = append(blocks, Block(hex.EncodeToString(state[:nameBytes])))
		prompt = prompt[ChunkBytes:]
	}
	return blocks
}

// Root returns the value by which prompts with a common start find the same
// endpoint.
func Root(seed Seed, prompt []byte) uint64 {
	start := prompt[:min(len(prompt), ChunkBytes)]
	return digest(seed, start)
}

// Tokens returns the number of tokens of a prompt.
func Tokens(prompt []byte) int {
	return len(prompt)/TokenBytes + 1
}

func digest(seed Seed, part []byte) uint64 {
	state := seed.sum()
	sum := sha256.New()
	sum.Write(state[:])
	sum.Write(part)
	return binary.BigEndian.Uint64(sum.Sum(nil))
}

func (s Seed) sum() [sha256.Size]byte {
	sum := sha256.New()
	for _, part := range []string{s.Team, s.Model, s.Weights} {
		hashed := sha256.Sum256([]byte(part))
		sum.Write(hashed[:])
	}
	return [sha256.Size]byte(sum.Sum(nil))
}
