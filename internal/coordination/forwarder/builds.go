package forwarder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/resumer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

var (
	// ErrBuildUnknown marks a stream that can't be resumed because it is not known which build
	// of the endpoints' software began it.
	ErrBuildUnknown = errors.New("build that began the stream is not known")
	// ErrBuildGone marks a stream that can't be resumed because no endpoint has the build that
	// began it.
	ErrBuildGone = errors.New("no endpoint has the build that began the stream any more")
	// errOtherBuild marks an attempt to resume a stream that was answered by another build, or
	// by one that is not known, than the one that began it.
	errOtherBuild = errors.New("stream would go on at another build")
)

// Builds tells which build of the endpoints' software answers, and which began a stream.
type Builds interface {
	// Begin returns the beginning of an answer whose first event has just arrived, and Build
	// the build of the process that sent it, whether that is known, and whether it is confirmed.
	Begin(endpoint endpointtracker.Endpoint) resumer.Beginning
	Build(beginning resumer.Beginning) (build resumer.Build, known, confirmed bool)
	// Announce makes the stream that a request has begun known to all nodes.
	Announce(id string, beginning resumer.Beginning)
	// Origin returns the build of the stream that an earlier request has begun at any node;
	// false if it is not known.
	Origin(ctx context.Context, id string) (resumer.Build, bool)
	// Sole returns the build of a service whose endpoints have all had the same one for as long as
	// a stream may last; false if they had several, or if that is not known.
	Sole(service string) (resumer.Build, bool)
	// Age returns how old the directory of endpoints is by which builds are known.
	Age() time.Duration
}

// findOrigin finds the build of a stream that the caller wants to be resumed, and the service
// that it began at. A caller that does not say which request began it is served only while there
// is no choice of builds.
func (r *run) findOrigin(ctx context.Context) error {
	if r.Builds == nil || r.Exchange.LastEventID == "" {
		return nil
	}
	var build resumer.Build
	var known bool
	if r.Resumes != "" {
		build, known = r.Builds.Origin(ctx, r.Resumes)
	} else {
		build, known = r.Builds.Sole(r.Service)
	}
	r.logOrigin(build, known)
	if !known || !r.Route.Allows(build.Service) {
		return &limiter.Refusal{Cause: ErrBuildUnknown}
	}
	r.Service, r.Progress.Build = build.Service, build
	return nil
}

// checkBuild is called with the first event of an attempt. It records the beginning of a new
// stream, and returns an error if a stream would go on at another build.
func (r *run) checkBuild(attempt Attempt) error {
	if r.Builds == nil {
		return nil
	}
	now := r.Builds.Begin(attempt.Endpoint)
	if r.Progress.Build == (resumer.Build{}) {
		r.beginning = &now
		r.Builds.Announce(r.ID, now)
		return nil
	}
	if build, known, _ := r.Builds.Build(now); !known || build != r.Progress.Build {
		// Its entry is wrong, or out of date.
		r.Misdirected[attempt.Endpoint.ID] = true
		return errors.Wrapf(errOtherBuild, "began at %s, answer from %q (known: %t, directory read %s ago)",
			r.Progress.Build.Version, build.Version, known, r.Builds.Age().Round(time.Millisecond))
	}
	return nil
}

// keepBuild makes sure that the next attempt at a stream that this run began goes to the same
// build.
func (r *run) keepBuild() error {
	build, known := r.nextBuild()
	if !known {
		r.logOrigin(build, known)
		return ErrBuildUnknown
	}
	r.Progress.Build = build
	return nil
}

// nextBuild returns the build that the next attempt must go to, zero for any; false if this run began a stream
// at a build that is not known.
func (r *run) nextBuild() (build resumer.Build, known bool) {
	if r.beginning == nil || r.Progress.Build != (resumer.Build{}) {
		return r.Progress.Build, true
	}
	build, known, _ = r.Builds.Build(*r.beginning)
	return build, known
}

func (r *run) logOrigin(build resumer.Build, known bool) {
	r.Log.Info().Str("event", "stream origin").Str("request", r.ID).Str("resumes", r.Resumes).Bool("known", known).
		Str("service", build.Service).Str("build", build.Version).Dur("age", r.Builds.Age()).Send()
}
