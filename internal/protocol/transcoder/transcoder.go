// Package transcoder encodes configuration objects, records, snapshots and
// declarations, and claim records, as JSON and decodes them.
//
// The types of the state packages have no struct tags. Each has a wire type in
// this package, and explicit code converts between the two. Decoding rejects
// unknown fields, so that a record written by a newer version of the program is
// never decoded partially.
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

// ErrMalformed marks input that can't be decoded.
var ErrMalformed = errors.New("input is malformed")

// strictDecode decodes a single JSON value. It returns ErrMalformed for unknown
// fields and for data after the value.
func strictDecode(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return markMalformed(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.Wrap(ErrMalformed, "data after the value")
	}
	return nil
}

func markMalformed(err error) error {
	return errors.Mark(err, ErrMalformed)
}

// encodeCompact encodes a value as JSON on one line without HTML escapes.
func encodeCompact(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, errors.Wrap(err, "encode JSON")
	}
	return bytes.TrimSuffix(buffer.Bytes(), []byte("\n")), nil
}
