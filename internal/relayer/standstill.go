package relayer

import "time"

const (
	// minSuspension is the shortest suspension of the host that is logged.
	minSuspension = 100 * time.Millisecond
	// minStandstill is the shortest time between two steps of Run for which the process
	// counts as stopped. It is some sweeps.
	minStandstill = 3 * sweepPeriod
	// catchUpPeriod is how long after its start or a standstill a node may still learn of
	// what happened before or meanwhile.
	catchUpPeriod = 3 * time.Second
)

// standstill is a time for which the process did not run, because it was stopped or its host
// was suspended.
type standstill struct {
	from  time.Time
	until time.Time
}

// noteStep records a standstill if the last step was too long ago. It comes before a change
// is made, since the change may tell of what happened meanwhile.
func (r *Relayer) noteStep() {
	now := r.now()
	if now.Sub(r.steppedAt) >= minStandstill {
		r.stood = standstill{from: r.steppedAt, until: now}
		r.Log.Warn().Str("event", "standstill").Dur("stood", now.Sub(r.steppedAt)).Send()
	}
	r.steppedAt = now
}

// earliestSince returns the earliest time since when something may be in force that this
// node has just learned: the start of the last standstill if that ended recently.
func (r *Relayer) earliestSince(learned time.Time) time.Time {
	if !r.stood.until.IsZero() && learned.Sub(r.stood.until) < catchUpPeriod {
		return r.stood.from
	}
	return learned
}

// now returns the time by the clock of the control state. It counts the time for which the
// host was suspended, and adjustments of the wall clock do not affect it.
func (r *Relayer) now() time.Time {
	if uptime, ok := r.Uptime(); ok {
		return time.Time{}.Add(uptime)
	}
	return r.Now()
}

// logSuspension logs that the host was suspended since the last check: the boot-time
// clock ran on, and the monotonic clock did not.
func (r *Relayer) logSuspension() {
	uptime, _ := r.Uptime()
	now := time.Now()
	if !r.checkedAt.IsZero() {
		if suspended := uptime - r.checkedUptime - now.Sub(r.checkedAt); suspended >= minSuspension {
			r.Log.Warn().Str("event", "host suspended").Dur("suspended", suspended).Send()
		}
	}
	r.checkedAt, r.checkedUptime = now, uptime
}
