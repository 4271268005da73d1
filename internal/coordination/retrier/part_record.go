package retrier

import (
	"slices"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

const (
	// maxPartCrashes is the maximum number of crashes in the record of a part.
	maxPartCrashes = 5
	// separateCrashes is the number of separate crashes, and crashObservers that of nodes
	// that saw them, from which a part is refused; burstCrashes is the number if there are
	// maxPartCrashes of them. answeredCrashes is the number for a part that was answered
	// before.
	separateCrashes = 3
	burstCrashes    = 2
	answeredCrashes = maxPartCrashes
	crashObservers  = 2
	// crashRestarts is the number of crashes after which the directory has shown another
	// process that stand for the missing observers.
	crashRestarts = 3
	// crashGap is the time between crashes from which they are separate. Endpoints that end
	// together have probably ended for another reason than a prompt.
	crashGap = 100 * time.Millisecond
	// ageTolerance covers the differences between the ages of one event that nodes report.
	ageTolerance = 150 * time.Millisecond
	// probePeriod is the time after the last crash at which one request with a refused part
	// runs, by the node that saw that crash; by any node after twice that time. Each time
	// that such a request crashes its endpoint, the time is multiplied by probeFactor.
	probePeriod = 2 * time.Minute
	probeFactor = 4
)

// partCrash is the crash of an endpoint that had not yet answered a request with a part.
type partCrash struct {
	endpoint uint32
	observer uint32
	at       time.Time
	// restarted is set once the directory has shown another process in place of the
	// endpoint's.
	restarted bool
}

// partRecord is what is known of a part that may crash endpoints.
type partRecord struct {
	// crashes are ordered by time; all are later than survived.
	crashes []partCrash
	// survived is when an endpoint last answered a request with the part; zero if none did.
	survived time.Time
	// used is when a request with the part last crashed an endpoint or was refused.
	used time.Time
	// clearedAt is when this node last learned that crashes were of no account.
	clearedAt time.Time
	// probed is when this node last let a request run although the part is refused.
	probed time.Time
}

// evidence is what the crashes of a part amount to.
type evidence struct {
	// crashes is the number of crashes, and separate that of separate ones.
	crashes  int
	separate int
	// observers is the number of nodes that saw crashes.
	observers int
	// answered is set if an endpoint has answered a request with the part.
	answered bool
}

// evidence returns what crashes of the record amount to.
func (r *partRecord) evidence(crashes []partCrash) evidence {
	e := evidence{crashes: len(crashes), answered: !r.survived.IsZero()}
	restarts := 0
	observers := make([]uint32, 0, maxPartCrashes+1)
	for i, crash := range crashes {
		if i == 0 || crash.at.Sub(crashes[i-1].at) >= crashGap {
			e.separate++
		}
		if !slices.Contains(observers, crash.observer) {
			observers = append(observers, crash.observer)
		}
		if crash.restarted {
			restarts++
		}
	}
	e.observers = len(observers)
	if restarts >= crashRestarts {
		e.observers = max(e.observers, crashObservers)
	}
	return e
}

func (e evidence) isEnough() bool {
	needed := separateCrashes
	switch {
	case e.answered:
		needed = answeredCrashes
	case e.crashes >= maxPartCrashes:
		needed = burstCrashes
	}
	return e.separate >= needed && e.observers >= crashObservers
}

// rank orders evidence. More observers than are needed don't count.
func (e evidence) rank() int {
	return e.separate*(crashObservers+1) + min(e.observers, crashObservers)
}

// add records a crash. It reports whether the record has changed.
func (r *partRecord) add(crash partCrash) bool {
	if !crash.at.After(r.survived) || slices.ContainsFunc(r.crashes, func(known partCrash) bool { return known.endpoint == crash.endpoint }) {
		return false
	}
	i, _ := slices.BinarySearchFunc(r.crashes, crash, func(a, b partCrash) int { return a.at.Compare(b.at) })
	r.crashes = slices.Insert(r.crashes, i, crash)
	if len(r.crashes) <= maxPartCrashes {
		return true
	}
	dropped := r.leastCrash()
	r.crashes = slices.Delete(r.crashes, dropped, dropped+1)
	return dropped != i
}

// isRecent reports whether the last crash is recent enough to be reported alone.
func (r *partRecord) isRecent(now time.Time) bool {
	n := len(r.crashes)
	return n > 0 && now.Sub(r.crashes[n-1].at) < weakTTL
}

// leastCrash returns the index of the crash without which the evidence is strongest; the
// oldest of several.
func (r *partRecord) leastCrash() int {
	least, best := 0, -1
	for i := range r.crashes {
		if rank := r.evidence(slices.Delete(slices.Clone(r.crashes), i, i+1)).rank(); rank > best {
			least, best = i, rank
		}
	}
	return least
}

// mayProbe reports whether a request may run on this node, observer, to learn whether the
// part is sound by now.
func (r *partRecord) mayProbe(now time.Time, observer uint32) bool {
	n := len(r.crashes)
	last, period := r.crashes[n-1], probePeriod
	if gap := last.at.Sub(r.crashes[n-2].at); gap >= probePeriod {
		period = probeFactor * gap
	}
	if now.Sub(r.probed) < period {
		return false
	}
	if last.observer != observer {
		period *= 2
	}
	return now.Sub(last.at) >= period
}

// survive records that an endpoint answered a request with the part. Earlier crashes are
// then of no account.
func (r *partRecord) survive(now, at time.Time) {
	if !at.After(r.survived) {
		return
	}
	r.survived = at
	n := len(r.crashes)
	r.crashes = slices.DeleteFunc(r.crashes, func(crash partCrash) bool { return !crash.at.After(at) })
	if len(r.crashes) < n {
		r.clearedAt = now
	}
}

// merge adds what a peer knows. It reports whether a crash is new.
func (r *partRecord) merge(now time.Time, told peertracker.PartSuspect) bool {
	if told.HasSurvived {
		r.survive(now, now.Add(-told.Survived))
	}
	isNews := false
	for _, crash := range told.Crashes {
		at := now.Add(-crash.Age)
		if !r.survived.IsZero() && !at.After(r.survived.Add(ageTolerance)) {
			// The peer has not heard that the part is sound.
			r.clearedAt = now
			continue
		}
		isNews = r.add(partCrash{endpoint: crash.Endpoint, observer: crash.Observer, at: at}) || isNews
	}
	if used := now.Add(-told.Used); used.After(r.used) {
		r.used = used
	}
	return isNews
}

func (r *partRecord) report(now time.Time, part uint64) peertracker.PartSuspect {
	told := peertracker.PartSuspect{Part: part, Used: now.Sub(r.used)}
	for _, crash := range r.crashes {
		told.Crashes = append(told.Crashes, peertracker.PartCrash{Endpoint: crash.endpoint, Observer: crash.observer, Age: now.Sub(crash.at)})
	}
	if !r.survived.IsZero() {
		told.Survived, told.HasSurvived = now.Sub(r.survived), true
	}
	return told
}

// unexplained returns the crashes of a part that other has not had.
func unexplained(crashes []partCrash, other *partRecord) []partCrash {
	return slices.DeleteFunc(slices.Clone(crashes), func(crash partCrash) bool {
		return slices.ContainsFunc(other.crashes, func(had partCrash) bool { return had.endpoint == crash.endpoint })
	})
}
