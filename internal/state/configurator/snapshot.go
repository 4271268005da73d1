package configurator

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Held is one entry of a snapshot: an object with the offset of its last change.
// A nil Object is the tombstone of a deleted object.
type Held struct {
	Ref    Ref
	Object Object
	Offset uint64
}

// Snapshot is the whole state at one offset in a form that can be encoded. Held
// is ordered by the string form of Ref.
type Snapshot struct {
	Next uint64
	Held []Held
}

// Snapshot returns the whole state including the tombstones.
func (s *State) Snapshot() Snapshot {
	snapshot := Snapshot{Next: s.next}
	for ref, stored := range s.entries {
		snapshot.Held = append(snapshot.Held, Held{Ref: ref, Object: stored.object, Offset: stored.offset})
	}
	sortHeld(snapshot.Held)
	return snapshot
}

// Restore returns the state of a snapshot. It returns ErrInvalid if the
// configuration in it is invalid or an entry's offset is beyond its end.
func Restore(snapshot Snapshot) (*State, error) {
	state := &State{next: snapshot.Next, entries: map[Ref]entry{}}
	for _, stored := range snapshot.Held {
		if stored.Offset >= snapshot.Next {
			return nil, errors.Wrapf(ErrInvalid, "%s changed at offset %d, snapshot ends at %d", stored.Ref, stored.Offset, snapshot.Next)
		}
		state.entries[stored.Ref] = entry{object: stored.Object, offset: stored.Offset}
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
