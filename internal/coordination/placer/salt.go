package placer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
)

// A cache salt has three fields, which are divided by slashes: the scope, the model and the
// version of its weights. Requests share prompt parts only within a scope.
//
// The scope is the name of an isolated team, or it is shared by all teams that are not
// isolated. The shared scope names, by a digest, the teams that are isolated. When a
// team is isolated, all others therefore get another scope: under the former one lie parts that
// the team has made, also in the memory of engines, where they can't be freed. Under each
// shared scope lie only parts of teams that are not isolated while it is in use. It
// depends on nothing but the configuration, so that all nodes derive the same.
//
// In all fields, bytes that have a meaning here or none in a header are escaped with a percent
// sign and two hexadecimal digits. scopeMark is no escape, so that no name reads like a
// scope that is not a name.
const (
	scopeMark = "%~"
	// emptyName is the scope of an isolated team without a name.
	emptyName = scopeMark + "-"
	// digestBytes is the length of the digest of the isolated teams' names.
	digestBytes = 8
)

// SharedScope returns the scope of the teams that are not isolated. isolated are the names of
// those that are, in order. It is empty if there are none.
func SharedScope(isolated []string) string {
	if len(isolated) == 0 {
		return ""
	}
	digest := sha256.New()
	for _, name := range isolated {
		// A name that was escaped contains no slash.
		_, _ = digest.Write([]byte(escape(name) + "/"))
	}
	return scopeMark + hex.EncodeToString(digest.Sum(nil)[:digestBytes])
}

// TeamScope returns the scope of an isolated team.
func TeamScope(name string) string {
	if name == "" {
		return emptyName
	}
	return escape(name)
}

// Salt returns the cache salt for a model and version of its weights.
func Salt(scope, model string, version int64) string {
	return scope + "/" + escape(model) + "/" + strconv.FormatInt(version, 10)
}

// ParseSalt returns the scope, model and version of a salt. ok is false for one that Salt does
// not return, as of another build.
func ParseSalt(salt string) (scope, model string, version int64, ok bool) {
	fields := strings.Split(salt, "/")
	if len(fields) != 3 {
		return "", "", 0, false
	}
	model, ok = unescape(fields[1])
	version, err := strconv.ParseInt(fields[2], 10, 64)
	return fields[0], model, version, ok && err == nil
}

// isPlain reports whether a byte of a name stands for itself in a salt. Spaces may be lost at
// the ends of a header.
func isPlain(b byte) bool { return b > ' ' && b < 0x7f && b != '/' && b != '%' }

func escape(name string) string {
	if !strings.ContainsFunc(name, func(r rune) bool { return r >= 0x7f || !isPlain(byte(r)) }) {
		return name
	}
	var escaped strings.Builder
	for i := range len(name) {
		if isPlain(name[i]) {
			escaped.WriteByte(name[i])
		} else {
			fmt.Fprintf(&escaped, "%%%02x", name[i])
		}
	}
	return escaped.String()
}

// unescape reverses escape. ok is false for text that escape does not return.
func unescape(text string) (name string, ok bool) {
	var raw strings.Builder
	for rest := text; rest != ""; {
		if rest[0] != '%' {
			raw.WriteByte(rest[0])
			rest = rest[1:]
			continue
		}
		if len(rest) < 3 {
			return "", false
		}
		b, err := hex.DecodeString(rest[1:3])
		if err != nil {
			return "", false
		}
		raw.Write(b)
		rest = rest[3:]
	}
	return raw.String(), escape(raw.String()) == text
}

// scopes are the scopes of a configuration.
type scopes struct {
	shared   string
	isolated []string
}

func newScopes(catalog *cataloger.Catalog) *scopes {
	isolated := catalog.IsolatedTeams()
	return &scopes{shared: SharedScope(isolated), isolated: isolated}
}

// of returns the scope of a request. A team that the configuration no longer has shares with
// no other: it may have been isolated. The team of a request without a key has no name.
func (s *scopes) of(catalog *cataloger.Catalog, team cataloger.Team) string {
	_, isolated := slices.BinarySearch(s.isolated, team.Name)
	switch {
	case team == (cataloger.Team{}):
		return s.shared
	case isolated || !catalog.HasTeam(team.Name):
		return TeamScope(team.Name)
	default:
		return s.shared
	}
}

// inUse reports whether teams of the configuration place requests in a scope.
func (s *scopes) inUse(scope string) bool {
	return scope == s.shared || slices.ContainsFunc(s.isolated, func(name string) bool { return TeamScope(name) == scope })
}
