// Package transcoder maps configuration objects, configuration records and
// claim records to JSON and back.
//
// Domain types carry no tags: each has a wire type here and is mapped by hand.
// Decoding refuses unknown fields, so that a record written by a newer program
// is never half understood.
//
// # Usage
//
//	data, err := transcoder.EncodeRecord(record)
//	record, err := transcoder.DecodeRecord(data)
package transcoder

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// ErrMalformed marks input that is not what the decoder expects.
var ErrMalformed = errors.New("input is malformed")

// strictDecode decodes exactly one JSON value without unknown fields.
func strictDecode(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return malformed(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.Wrap(ErrMalformed, "data after the value")
	}
	return nil
}

func malformed(err error) error {
	return errors.Mark(err, ErrMalformed)
}

// compact encodes a value on one line without HTML escapes.
func compact(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, errors.Wrap(err, "encode JSON")
	}
	return bytes.TrimSuffix(buffer.Bytes(), []byte("\n")), nil
}
