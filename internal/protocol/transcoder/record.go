package transcoder

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
)

type wireRecord struct {
	ID      string       `json:"id"`
	Base    uint64       `json:"base"`
	Rules   int          `json:"rules"`
	Changes []wireChange `json:"changes"`
}

type wireChange struct {
	Op     string          `json:"op"`
	Kind   string          `json:"kind"`
	Name   string          `json:"name"`
	Object json.RawMessage `json:"object,omitempty"`
}

// EncodeRecord returns a configuration record as JSON.
func EncodeRecord(record configurator.Record) ([]byte, error) {
	wire := wireRecord{ID: record.ID, Base: record.Base, Rules: record.Rules}
	for _, change := range record.Changes {
		encoded, err := encodeChange(change)
		if err != nil {
			return nil, err
		}
		wire.Changes = append(wire.Changes, encoded)
	}
	return encodeCompact(wire)
}

func encodeChange(change configurator.Change) (wireChange, error) {
	wire := wireChange{Op: string(change.Op), Kind: string(change.Ref.Kind), Name: change.Ref.Name}
	if change.Op == configurator.OpDelete {
		return wire, nil
	}
	object, err := EncodeObject(change.Object)
	wire.Object = object
	return wire, err
}

// DecodeRecord decodes a configuration record. A record that needs newer rules
// than this program supports is returned with only its ID and Rules, so that
// State.Apply stops at it. DecodeRecord returns ErrMalformed for any other input
// that it can't decode.
func DecodeRecord(data []byte) (configurator.Record, error) {
	var probe struct {
		ID    string `json:"id"`
		Rules int    `json:"rules"`
	}
	if err := json.Unmarshal(data, &probe); err != nil {
		return configurator.Record{}, markMalformed(err)
	}
	if probe.Rules > configurator.RulesVersion {
		return configurator.Record{ID: probe.ID, Rules: probe.Rules}, nil
	}
	var wire wireRecord
	if err := strictDecode(data, &wire); err != nil {
		return configurator.Record{}, err
	}
	record := configurator.Record{ID: wire.ID, Base: wire.Base, Rules: wire.Rules}
	for i, change := range wire.Changes {
		decoded, err := decodeChange(change)
		if err != nil {
			return configurator.Record{}, errors.Wrapf(err, "change %d", i)
		}
		record.Changes = append(record.Changes, decoded)
	}
	return record, nil
}

// ApplyRecord decodes the record at offset and applies it to the state. A record
// that can't be decoded is rejected and skipped, so that all readers of the
// stream continue with the same state. Errors are those of State.Apply.
func ApplyRecord(state *configurator.State, offset uint64, data []byte) (*configurator.State, configurator.Record, configurator.Verdict, error) {
	record, err := DecodeRecord(data)
	if err != nil {
		next, verdict, skipErr := state.Skip(offset, err)
		return next, configurator.Record{}, verdict, skipErr
	}
	next, verdict, err := state.Apply(offset, record)
	return next, record, verdict, err
}

func decodeChange(wire wireChange) (configurator.Change, error) {
	ref := configurator.Ref{Kind: configurator.Kind(wire.Kind), Name: wire.Name}
	switch configurator.Op(wire.Op) {
	case configurator.OpDelete:
		return configurator.Delete(ref), nil
	case configurator.OpPut:
		object, err := DecodeObject(wire.Object)
		if err != nil {
			return configurator.Change{}, err
		}
		if object.Ref() != ref {
			return configurator.Change{}, errors.Wrapf(ErrMalformed, "change of %s holds %s", ref, object.Ref())
		}
		return configurator.Put(object), nil
	}
	return configurator.Change{}, errors.Wrapf(ErrMalformed, "unknown operation %q", wire.Op)
}

type wireSnapshot struct {
	Next uint64     `json:"next"`
	Held []wireHeld `json:"held"`
}

type wireHeld struct {
	Kind   string          `json:"kind"`
	Name   string          `json:"name"`
	Offset uint64          `json:"offset"`
	Object json.RawMessage `json:"object,omitempty"`
}

// EncodeSnapshot returns a snapshot as JSON.
func EncodeSnapshot(snapshot configurator.Snapshot) ([]byte, error) {
	wire := wireSnapshot{Next: snapshot.Next}
	for _, held := range snapshot.Held {
		encoded := wireHeld{Kind: string(held.Ref.Kind), Name: held.Ref.Name, Offset: held.Offset}
		if held.Object != nil {
			object, err := EncodeObject(held.Object)
			if err != nil {
				return nil, err
			}
			encoded.Object = object
		}
		wire.Held = append(wire.Held, encoded)
	}
	return encodeCompact(wire)
}

// DecodeSnapshot decodes a snapshot. It returns ErrMalformed for input that it
// can't decode.
func DecodeSnapshot(data []byte) (configurator.Snapshot, error) {
	var wire wireSnapshot
	if err := strictDecode(data, &wire); err != nil {
		return configurator.Snapshot{}, err
	}
	snapshot := configurator.Snapshot{Next: wire.Next}
	for _, held := range wire.Held {
		ref := configurator.Ref{Kind: configurator.Kind(held.Kind), Name: held.Name}
		decoded := configurator.Held{Ref: ref, Offset: held.Offset}
		if held.Object != nil {
			object, err := DecodeObject(held.Object)
			if err != nil {
				return configurator.Snapshot{}, err
			}
			if object.Ref() != ref {
				return configurator.Snapshot{}, errors.Wrapf(ErrMalformed, "entry of %s holds %s", ref, object.Ref())
			}
			decoded.Object = object
		}
		snapshot.Held = append(snapshot.Held, decoded)
	}
	return snapshot, nil
}
