package relayer

import (
	"slices"
	"time"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/placer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

// NewestTarget returns the newest target version of each model.
func (r *Relayer) NewestTarget() map[string]int64 {
	view := r.View()
	versions := make(map[string]int64, len(view.TargetVersions))
	for model := range view.TargetVersions {
		versions[model] = view.NewestTarget(model)
	}
	return versions
}

// SetTargetVersion sets the version of a model's weights that endpoints are to
// load. Versions that are not newer than the last one are ignored. fresh is set if
// the operators have just set the version; otherwise its time is unknown.
func (r *Relayer) SetTargetVersion(model string, version int64, fresh bool) {
	r.do(func() { r.setTarget(model, version, fresh) })
}

// SetTargetVersionFromPeer is SetTargetVersion for a version that a peer told. Its time is
// unknown if this node has just started, since the peer may have known it for long.
func (r *Relayer) SetTargetVersionFromPeer(model string, version int64) {
	r.do(func() { r.setTarget(model, version, r.now().Sub(r.startedAt) >= catchUpPeriod) })
}

func (r *Relayer) setTarget(model string, version int64, fresh bool) {
	known := r.targetVersions[model]
	if len(known) > 0 && known[len(known)-1].Version >= version {
		return
	}
	target := placer.TargetVersion{Version: version, Learned: r.now()}
	if fresh {
		target.Since = r.earliestSince(target.Learned)
	}
	// Published views share the slice, so append to a copy.
	r.targetVersions[model] = append(slices.Clone(known), target)
	r.publish()
	line := r.Log.Info().Str("event", "weights named").Str("model", model).Int64("version", version).Bool("fresh", fresh)
	if fresh {
		line.Dur("age", target.Learned.Sub(target.Since))
	}
	line.Send()
	r.OnTargetChange()
}

// AdoptTargetAges sets the time of the newest target version of each model for which it is
// unknown and age returns it.
func (r *Relayer) AdoptTargetAges(age func(model string, version int64) (time.Duration, bool)) {
	view := r.View()
	for model, targets := range view.TargetVersions {
		newest := targets[len(targets)-1]
		told, ok := age(model, newest.Version)
		if !ok || told < 0 || !newest.Since.IsZero() {
			continue
		}
		r.do(func() { r.setTargetAge(model, newest.Version, told) })
	}
}

func (r *Relayer) setTargetAge(model string, version int64, age time.Duration) {
	targets := slices.Clone(r.targetVersions[model])
	newest := &targets[len(targets)-1]
	if newest.Version != version || !newest.Since.IsZero() {
		return
	}
	newest.Since = r.now().Add(-age)
	r.targetVersions[model] = targets
	r.publish()
	r.Log.Info().Str("event", "weights named").Str("model", model).Int64("version", version).Dur("age", age).Str("source", "peer").Send()
}

// lacksTarget reports whether an endpoint has a model whose target version is newer than
// the loaded one. If not, a peer's word that it loads has been overtaken.
func (r *Relayer) lacksTarget(endpoint endpointtracker.Endpoint) bool {
	for model, loaded := range endpoint.Weights {
		if known := r.targetVersions[model]; len(known) > 0 && known[len(known)-1].Version > loaded {
			return true
		}
	}
	return false
}
