// Package fingerprinter computes the IDs of a prompt's blocks as a chain of
// hashes. Fingerprints of requests are computed by package forwarder.
//
// The chain is seeded with team, model and weights. Blocks of different teams or
// weights therefore never have the same ID, and isolating them needs no further
// check.
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
	// BlockBytes is the number of prompt bytes that one block covers.
	BlockBytes = 4096
	// BlockTokens is the number of prompt tokens that one block covers.
	BlockTokens = 1024
	// TokenBytes is the number of prompt bytes that are estimated as one token.
	TokenBytes = 4

	blockIDBytes = 16
)

// Seed separates the chains of different teams, models and weights.
type Seed struct {
	Team    string
	Model   string
	Weights string
}

// Block is the ID of one prompt block, in hexadecimal.
type Block string

// Chain returns the IDs of a prompt's blocks. Each ID depends on the whole prompt
// up to the end of the block. An incomplete block at the end of the prompt is
// left out.
func Chain(seed Seed, prompt []byte) []Block {
	blocks := make([]Block, 0, len(prompt)/BlockBytes)
	state := seed.sum()
	for len(prompt) >= BlockBytes {
		hash := sha256.New()
		hash.Write(state[:])
		hash.Write(prompt[:BlockBytes])
		state = [sha256.Size]byte(hash.Sum(nil))
		blocks = append(blocks, Block(hex.EncodeToString(state[:blockIDBytes])))
		prompt = prompt[BlockBytes:]
	}
	return blocks
}

// PrefixHash returns a hash of the first BlockBytes of a prompt. The router
// uses it to send prompts with a common prefix to the same endpoint.
func PrefixHash(seed Seed, prompt []byte) uint64 {
	start := prompt[:min(len(prompt), BlockBytes)]
	return seededHash(seed, start)
}

// EstimateTokens returns the estimated number of tokens of a prompt.
func EstimateTokens(prompt []byte) int {
	return len(prompt)/TokenBytes + 1
}

func seededHash(seed Seed, part []byte) uint64 {
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
