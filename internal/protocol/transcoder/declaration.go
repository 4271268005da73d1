package transcoder

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
)

// Declaration is the whole configuration in the form that operators keep in
// version control.
type Declaration struct {
	Rules   int
	Objects []configurator.Object
}

// EncodeDeclaration encodes a declaration in canonical form: objects ordered by
// kind and name, one per line.
func EncodeDeclaration(declaration Declaration) ([]byte, error) {
	objects := append([]configurator.Object(nil), declaration.Objects...)
	configurator.SortObjects(objects)
	var buffer bytes.Buffer
	rules, err := encodeCompact(declaration.Rules)
	if err != nil {
		return nil, err
	}
	buffer.WriteString("{\n\"rules\":")
	buffer.Write(rules)
	buffer.WriteString(",\n\"objects\":[")
	for i, object := range objects {
		line, err := EncodeObject(object)
		if err != nil {
			return nil, err
		}
		if i > 0 {
			buffer.WriteString(",")
		}
		buffer.WriteString("\n")
		buffer.Write(line)
	}
	buffer.WriteString("\n]\n}\n")
	return buffer.Bytes(), nil
}

// DecodeDeclaration decodes a declaration and validates it as a whole. Errors
// name the object that is invalid and, where it is known, the line.
func DecodeDeclaration(data []byte) (Declaration, error) {
	var top struct {
		Rules   int             `json:"rules"`
		Objects json.RawMessage `json:"objects"`
	}
	if err := strictDecode(data, &top); err != nil {
		return Declaration{}, errors.Wrapf(err, "line %d", errorLine(data, err))
	}
	if top.Rules != configurator.RulesVersion {
		return Declaration{}, errors.Wrapf(ErrMalformed, "rules %d are not known, expected %d", top.Rules, configurator.RulesVersion)
	}
	start := bytes.Index(data, top.Objects)
	objects, err := decodeObjects(data, start, top.Objects)
	if err != nil {
		return Declaration{}, err
	}
	return Declaration{Rules: top.Rules, Objects: objects}, nil
}

func decodeObjects(data []byte, start int, array []byte) ([]configurator.Object, error) {
	decoder := json.NewDecoder(bytes.NewReader(array))
	if token, err := decoder.Token(); err != nil || token != json.Delim('[') {
		return nil, errors.Wrap(ErrMalformed, "objects must be an array")
	}
	seen := map[configurator.Ref]int{}
	var objects []configurator.Object
	for decoder.More() {
		var raw json.RawMessage
		if err := decoder.Decode(&raw); err != nil {
			return nil, markMalformed(err)
		}
		line := lineNumber(data, start+int(decoder.InputOffset())-len(raw))
		object, err := DecodeObject(raw)
		if err != nil {
			return nil, errors.Wrapf(err, "line %d", line)
		}
		ref := object.Ref()
		if first, duplicate := seen[ref]; duplicate {
			return nil, errors.Wrapf(ErrMalformed, "line %d: %s is declared on line %d already", line, ref, first)
		}
		seen[ref] = line
		objects = append(objects, object)
	}
	return objects, validateObjects(objects, seen)
}

func validateObjects(objects []configurator.Object, lines map[configurator.Ref]int) error {
	record := configurator.Record{Rules: configurator.RulesVersion}
	for _, object := range objects {
		record.Changes = append(record.Changes, configurator.Put(object))
	}
	_, verdict, err := configurator.New().Apply(0, record)
	if err != nil {
		return err
	}
	if verdict.Accepted() {
		return nil
	}
	for ref, line := range lines {
		if bytes.HasPrefix([]byte(verdict.Reason.Error()), []byte(ref.String()+":")) {
			return errors.Wrapf(verdict.Reason, "line %d", line)
		}
	}
	return verdict.Reason
}

func lineNumber(data []byte, offset int) int {
	offset = min(max(offset, 0), len(data))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}

func errorLine(data []byte, err error) int {
	var syntaxError *json.SyntaxError
	if errors.As(err, &syntaxError) {
		return lineNumber(data, int(syntaxError.Offset))
	}
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return lineNumber(data, int(typeError.Offset))
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return lineNumber(data, len(data))
	}
	return 1
}
