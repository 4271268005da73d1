package transcoder

import (
	"encoding/hex"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/state/indexer"
)

type wireClaim struct {
	Type    string `json:"type"`
	Key     string `json:"key"`
	Process uint64 `json:"process"`
	Counter uint64 `json:"counter"`
	Digest  string `json:"digest,omitempty"`
	LeftMS  int64  `json:"left_ms,omitempty"`
	Base    uint64 `json:"through,omitempty"`

	ElapsedMS int64       `json:"elapsed_ms,omitempty"`
	Answer    *wireAnswer `json:"answer,omitempty"`
}

type wireAnswer struct {
	Status  int                 `json:"status"`
	Header  map[string][]string `json:"header,omitempty"`
	Body    []byte              `json:"body,omitempty"`
	Omitted bool                `json:"omitted,omitempty"`
}

// EncodeClaim returns a claim record as JSON.
func EncodeClaim(record indexer.Record) ([]byte, error) {
	wire := wireClaim{
		Type:    string(record.Type),
		Key:     hex.EncodeToString(record.Key[:]),
		Process: record.Attempt.Process,
		Counter: record.Attempt.Counter,
	}
	if record.Type == indexer.TypeClaim || record.Type == indexer.TypeRenewal {
		wire.Digest = hex.EncodeToString(record.Digest[:])
		wire.LeftMS = record.Remaining.Milliseconds()
	}
	if record.Type == indexer.TypeRenewal || record.Type == indexer.TypeTick {
		wire.Base = record.Base
		wire.ElapsedMS = record.Elapsed.Milliseconds()
	}
	if answer := record.Answer; answer != nil {
		wire.Answer = &wireAnswer{
			Status:  answer.Status,
			Header:  answer.Header,
			Body:    answer.Body,
			Omitted: answer.Omitted,
		}
	}
	return encodeCompact(wire)
}

// DecodeClaim decodes a claim record. It returns ErrMalformed for unknown types
// and fields and for hashes of the wrong size.
func DecodeClaim(data []byte) (indexer.Record, error) {
	var wire wireClaim
	if err := strictDecode(data, &wire); err != nil {
		return indexer.Record{}, err
	}
	record := indexer.Record{
		Type:    indexer.Type(wire.Type),
		Attempt: indexer.Attempt{Process: wire.Process, Counter: wire.Counter},
	}
	key, err := decodeHash(wire.Key)
	if err != nil {
		return indexer.Record{}, errors.Wrap(err, "key")
	}
	record.Key = key
	if err := decodeClaimBody(wire, &record); err != nil {
		return indexer.Record{}, err
	}
	return record, nil
}

func decodeClaimBody(wire wireClaim, record *indexer.Record) error {
	record.Base = wire.Base
	switch record.Type {
	case indexer.TypeClaim, indexer.TypeRenewal:
		digest, err := decodeHash(wire.Digest)
		if err != nil {
			return errors.Wrap(err, "digest")
		}
		record.Digest = digest
		record.Remaining = milliseconds(wire.LeftMS)
	case indexer.TypeOutcome:
		if wire.Answer == nil {
			return errors.Wrap(ErrMalformed, "outcome has no answer")
		}
	case indexer.TypeRelease:
	case indexer.TypeTick:
		record.Elapsed = milliseconds(wire.ElapsedMS)
	default:
		return errors.Wrapf(ErrMalformed, "unknown claim type %q", wire.Type)
	}
	if answer := wire.Answer; answer != nil {
		record.Answer = &indexer.Answer{
			Status:  answer.Status,
			Header:  http.Header(answer.Header),
			Body:    answer.Body,
			Omitted: answer.Omitted,
		}
	}
	return nil
}

func decodeHash(text string) ([indexer.HashBytes]byte, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != indexer.HashBytes {
		return [indexer.HashBytes]byte{}, errors.Wrapf(ErrMalformed, "%q is not a hash of %d bytes", text, indexer.HashBytes)
	}
	return [indexer.HashBytes]byte(raw), nil
}
