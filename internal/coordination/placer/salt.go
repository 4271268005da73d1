package placer

import (
	"strconv"
	"strings"
)

// Salt returns the text under which an engine caches parts. wall is the name of
// an isolated team, or empty.
func Salt(wall, model string, version int64) string {
	return wall + "/" + model + "/" + strconv.FormatInt(version, 10)
}

// ParseSalt takes a salt apart; ok is false for one of another form.
func ParseSalt(salt string) (model string, version int64, ok bool) {
	fields := strings.Split(salt, "/")
	if len(fields) != 3 {
		return "", 0, false
	}
	version, err := strconv.ParseInt(fields[2], 10, 64)
	return fields[1], version, err == nil
}
