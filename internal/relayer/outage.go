package relayer

import "time"

const (
	// expiredEntryGrace is how long after the return of the log an entry may be missing
	// because it expired in the outage: those who write entries write them again within it.
	expiredEntryGrace = 2 * time.Second
	// graceMargin is how much earlier than Feed.ContactLimit the grace ends, for requests
	// that are on their way to an endpoint then.
	graceMargin = 200 * time.Millisecond
	// minOutage is the shortest time without contact in which entries are assumed to expire.
	minOutage = time.Second
)

// outage determines until when entries that a log lacks may have expired in an outage of it.
// That is one time for all of them, since it depends on the return of the log and not on when
// the removal of an entry was read.
//
// The log returned at an unknown time between the start of the last failed call and the end of
// the first successful one. Entries have time to return after the latter; but a node counts as in
// touch from ContactLimit after the former, and must have dropped them by then.
type outage struct {
	// failedCall is when the last failed call to the log began; zero unless the outage lasts.
	failedCall time.Time
	graceEnd   time.Time
}

// recordFailure records a failed call to the log that began at a time.
func (o *outage) recordFailure(began time.Time) { o.failedCall = began }

// recordSuccess records that a call succeeded at now, after the log had last been read as of
// readAt. It reports whether that ended an outage.
func (o *outage) recordSuccess(now, readAt time.Time, contactLimit time.Duration) bool {
	if o.failedCall.IsZero() {
		return false
	}
	o.graceEnd = now.Add(expiredEntryGrace)
	if latest := o.failedCall.Add(contactLimit - graceMargin); contactLimit > 0 && latest.Before(o.graceEnd) {
		o.graceEnd = latest
	}
	// A single failed call may be no outage at all. Entries that are missing then were
	// removed after readAt, which bounds the grace for all of them.
	if now.Sub(readAt) < minOutage {
		o.graceEnd = readAt.Add(expiredEntryGrace)
	}
	o.failedCall = time.Time{}
	return true
}
