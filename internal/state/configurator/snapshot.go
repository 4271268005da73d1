package configurator

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Held is one object of a snapshot with the offset of its last change; a nil
// Object is a tombstone.
type Held struct {
	Ref    Ref
	Object Object
	Offset uint64
}

// Snapshot is the whole state at one offset, in a form that can be encoded.
type Snapshot struct {
	Next uint64
	Held []Held
}

// Snapshot returns the state with its tombstones.
func (s *State) Snapshot() Snapshot {
	snapshot := Snapshot{Next: s.next}
	for ref, held := range s.entries {
		snapshot.Held = append(snapshot.Held, Held{Ref: ref, Object: held.object, Offset: held.offset})
	}
	sortHeld(snapshot.Held)
	return snapshot
}

// Restore returns the state that a snapshot describes. It returns ErrInvalid
// when the snapshot's whole is invalid.
func Restore(snapshot Snapshot) (*State, error) {
	state := &State{next: snapshot.Next, entries: map[Ref]entry{}}
	for _, held := range snapshot.Held {
		if held.Offset >= snapshot.Next {
			return nil, errors.Wrapf(ErrInvalid, "%s changed at offset %d, snapshot ends at %d", held.Ref, held.Offset, snapshot.Next)
		}
		state.entries[held.Ref] = entry{object: held.Object, offset: held.Offset}
	}
	if err := Validate(state); err != nil {
		return nil, err
	}
	return state, nil
}

func sortHeld(held []Held) {
	slices.SortFunc(held, func(a, b Held) int {
		return strings.Compare(a.Ref.String(), b.Ref.String())
	})
}
