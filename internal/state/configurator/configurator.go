// Package configurator derives the active configuration by applying the records
// of the configuration stream in order. It is the configuration of the nodes of
// command lacewingrelay; relay nodes on the platform use cataloger instead.
//
// The state is a pure function of the stream's prefix: every node that has read
// the same records has the same State and has accepted and rejected the same
// records. A record is accepted if none of the objects that it changes has
// changed at or after the record's base and if the resulting configuration is
// valid as a whole.
//
// # Usage
//
//	state := configurator.New()
//	next, verdict, err := state.Apply(state.Next(), record)
//	if err != nil {
//		// The record needs newer rules than this program supports; keep state.
//	}
//	if !verdict.Accepted() {
//		log.Print(verdict.Reason)
//	}
//	state = next
package configurator

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// RulesVersion is the newest version of the rules for applying records that this
// program supports.
const RulesVersion = 1

// Sentinel errors of applying records.
var (
	// ErrConflict marks a record whose objects changed at or after its base.
	ErrConflict = errors.New("object changed since the record's base")
	// ErrInvalid marks an invalid configuration, or a record that would result in
	// one.
	ErrInvalid = errors.New("configuration is invalid")
	// ErrMalformed marks a record that could not be decoded.
	ErrMalformed = errors.New("configuration record is malformed")
	// ErrUnknownRules marks a record that needs rules newer than RulesVersion.
	ErrUnknownRules = errors.New("configuration record needs newer rules")
	// ErrOutOfOrder marks a record that is not the next one of the stream.
	ErrOutOfOrder = errors.New("configuration record is out of order")
)

// Op is what a change does to an object.
type Op string

// The operations of a change.
const (
	OpPut    Op = "put"
	OpDelete Op = "delete"
)

// Change puts or deletes one object.
type Change struct {
	Op  Op
	Ref Ref
	// Object is nil for OpDelete.
	Object Object
}

// Put returns the change that stores object.
func Put(object Object) Change {
	return Change{Op: OpPut, Ref: object.Ref(), Object: object}
}

// Delete returns the change that removes the object named by ref.
func Delete(ref Ref) Change {
	return Change{Op: OpDelete, Ref: ref}
}

// Record is one entry of the configuration stream.
type Record struct {
	// ID is unique per publication. After an append with unknown outcome, the
	// publisher searches the stream for it.
	ID string
	// Base is the Next offset of the state that the changes are based on.
	Base uint64
	// Rules is the version of the rules that the record needs.
	Rules   int
	Changes []Change
}

// Verdict tells whether a record was accepted or rejected.
type Verdict struct {
	Offset uint64
	ID     string
	// Reason is nil for an accepted record.
	Reason error
}

// Accepted reports whether the record's changes were applied.
func (v Verdict) Accepted() bool { return v.Reason == nil }

// entry is an object with the offset of its last change. A deleted object stays
// as a tombstone with a nil object, so that a change with a base before the
// deletion still conflicts.
type entry struct {
	object Object
	offset uint64
}

// State is the configuration after a prefix of the stream. It is immutable and
// safe for concurrent use.
type State struct {
	next    uint64
	entries map[Ref]entry

	sortOnce      sync.Once
	objectsByKind map[Kind][]Object
}

// New returns the state before the first record.
func New() *State {
	return &State{entries: map[Ref]entry{}}
}

// Next returns the offset of the next record to apply.
func (s *State) Next() uint64 { return s.next }

// Get returns the object named by ref.
func (s *State) Get(ref Ref) (Object, bool) {
	found, ok := s.entries[ref]
	if !ok || found.object == nil {
		return nil, false
	}
	return found.object, true
}

// Objects returns all objects ordered by kind and name.
func (s *State) Objects() []Object {
	var objects []Object
	for _, kind := range Kinds() {
		objects = append(objects, s.objectsOfKind(kind)...)
	}
	return objects
}

// objectsOfKind returns the objects of a kind ordered by name. They are sorted
// only once per state, since they are read on the path of requests.
func (s *State) objectsOfKind(kind Kind) []Object {
	s.sortOnce.Do(func() {
		s.objectsByKind = map[Kind][]Object{}
		for ref, stored := range s.entries {
			if stored.object != nil {
				s.objectsByKind[ref.Kind] = append(s.objectsByKind[ref.Kind], stored.object)
			}
		}
		for _, objects := range s.objectsByKind {
			SortObjects(objects)
		}
	})
	return s.objectsByKind[kind]
}

// SortObjects orders objects by the order of Kinds and then by name.
func SortObjects(objects []Object) {
	order := Kinds()
	slices.SortFunc(objects, func(a, b Object) int {
		left, right := a.Ref(), b.Ref()
		if left.Kind != right.Kind {
			return slices.Index(order, left.Kind) - slices.Index(order, right.Kind)
		}
		return strings.Compare(left.Name, right.Name)
	})
}

// Find returns the object of type T named name.
func Find[T Object](s *State, kind Kind, name string) (T, bool) {
	object, ok := s.Get(Ref{kind, name})
	typed, match := object.(T)
	return typed, ok && match
}

// All returns the objects of type T ordered by name.
func All[T Object](s *State) []T {
	var zero T
	objects := s.objectsOfKind(zero.Ref().Kind)
	found := make([]T, 0, len(objects))
	for _, object := range objects {
		if typed, ok := object.(T); ok {
			found = append(found, typed)
		}
	}
	return found
}

// Apply returns the state after the record at offset. A rejected record still
// advances Next. Apply returns ErrUnknownRules if the record needs newer rules
// than this program supports, and ErrOutOfOrder if offset isn't Next; the
// returned state is then s itself.
func (s *State) Apply(offset uint64, record Record) (*State, Verdict, error) {
	if offset != s.next {
		return s, Verdict{}, errors.Wrapf(ErrOutOfOrder, "offset %d, expected %d", offset, s.next)
	}
	if record.Rules > RulesVersion {
		return s, Verdict{}, errors.Wrapf(ErrUnknownRules, "offset %d: rules %d, known %d", offset, record.Rules, RulesVersion)
	}
	verdict := Verdict{Offset: offset, ID: record.ID}
	candidate, reason := s.change(offset, record)
	if reason != nil {
		verdict.Reason = reason
		return s.advance(), verdict, nil
	}
	return candidate, verdict, nil
}

// Skip returns the state after a record that could not be decoded, which counts
// as rejected because of cause. It returns ErrOutOfOrder if offset isn't Next.
func (s *State) Skip(offset uint64, cause error) (*State, Verdict, error) {
	if offset != s.next {
		return s, Verdict{}, errors.Wrapf(ErrOutOfOrder, "offset %d, expected %d", offset, s.next)
	}
	return s.advance(), Verdict{Offset: offset, Reason: errors.Mark(cause, ErrMalformed)}, nil
}

func (s *State) advance() *State {
	return &State{next: s.next + 1, entries: s.entries}
}

func (s *State) change(offset uint64, record Record) (*State, error) {
	for _, change := range record.Changes {
		current, ok := s.entries[change.Ref]
		if ok && current.offset >= record.Base {
			return nil, errors.Wrapf(ErrConflict, "%s changed at offset %d, base is %d", change.Ref, current.offset, record.Base)
		}
	}
	entries := maps.Clone(s.entries)
	for _, change := range record.Changes {
		entries[change.Ref] = entry{object: change.Object, offset: offset}
	}
	candidate := &State{next: offset + 1, entries: entries}
	if err := Validate(candidate); err != nil {
		return nil, err
	}
	return candidate, nil
}

// Diff returns the changes that turn s into the declared objects. Objects that
// are not declared are deleted only if prune is set.
func (s *State) Diff(declared []Object, prune bool) []Change {
	var changes []Change
	declaredRefs := map[Ref]bool{}
	for _, object := range declared {
		declaredRefs[object.Ref()] = true
		current, ok := s.Get(object.Ref())
		if !ok || !equal(current, object) {
			changes = append(changes, Put(object))
		}
	}
	if !prune {
		return changes
	}
	for _, object := range s.Objects() {
		if !declaredRefs[object.Ref()] {
			changes = append(changes, Delete(object.Ref()))
		}
	}
	return changes
}

func equal(a, b Object) bool {
	left, ok := a.(Ceiling)
	if !ok {
		return a == b
	}
	right, ok := b.(Ceiling)
	return ok && left.Watts == right.Watts && maps.Equal(left.Shares, right.Shares)
}
