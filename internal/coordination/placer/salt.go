package placer

import (
	"strconv"
	"strings"
)

// Salt returns the cache salt, which separates the cached prompt parts of an
// engine by model, version of the weights and isolated team. isolatedTeam is the
// name of the team if it is isolated, or empty. ParseSalt can't parse the salt of
// a name that contains a slash.
func Salt(isolatedTeam, model string, version int64) string {
	return isolatedTeam + "/" + model + "/" + strconv.FormatInt(version, 10)
}

// ParseSalt returns the model and version of a salt. ok is false if the salt is
// malformed.
func ParseSalt(salt string) (model string, version int64, ok bool) {
	fields := strings.Split(salt, "/")
	if len(fields) != 3 {
		return "", 0, false
	}
	version, err := strconv.ParseInt(fields[2], 10, 64)
	return fields[1], version, err == nil
}
