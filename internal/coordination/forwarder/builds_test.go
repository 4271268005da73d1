package forwarder_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/forwarder"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/limiter"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/placer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/resumer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/cataloger"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
)

// standinBuilds knows the build of each process, which may differ from its entry, that of the
// stream with the id "known", and the sole build of the service, if there is one.
type standinBuilds struct {
	builds    map[string]string
	sole      string
	announced []string
}

// Sole implements forwarder.Builds.
func (s *standinBuilds) Sole(service string) (resumer.Build, bool) {
	return resumer.Build{Service: service, Version: s.sole}, s.sole != ""
}

// Age implements forwarder.Builds.
func (s *standinBuilds) Age() time.Duration { return time.Second }

// Begin implements forwarder.Builds.
func (s *standinBuilds) Begin(endpoint endpointtracker.Endpoint) resumer.Beginning {
	return resumer.Beginning{Endpoint: endpoint}
}

// Build implements forwarder.Builds.
func (s *standinBuilds) Build(beginning resumer.Beginning) (_ resumer.Build, known, confirmed bool) {
	build, known := s.builds[beginning.Endpoint.ID]
	return resumer.Build{Service: service, Version: build}, known, known
}

// Announce implements forwarder.Builds.
func (s *standinBuilds) Announce(id string, _ resumer.Beginning) {
	s.announced = append(s.announced, id)
}

// Origin implements forwarder.Builds.
func (s *standinBuilds) Origin(_ context.Context, id string) (resumer.Build, bool) {
	return resumer.Build{Service: service, Version: "v1"}, id == "known"
}

// buildCase is a run of an exchange at three endpoints.
type buildCase struct {
	name string
	// entries and builds are the builds of the endpoints by their entries and in fact; a build
	// that is missing is not known.
	entries []string
	builds  map[string]string
	// resumes is set for a stream that the caller takes up; unnamed if the caller does not say
	// which. sole is the sole build of the service.
	resumes   string
	sole      string
	responses []response
	check     func(t *testing.T, c *standinSink, e *standinSender, err error)
}

func assertBuildRefusal(t *testing.T, err, sentinel error) {
	t.Helper()
	var refusal *limiter.Refusal
	require.ErrorAs(t, err, &refusal)
	assert.ErrorIs(t, refusal, sentinel)
	assert.Zero(t, refusal.RetryAfter, "nobody knows when the build is back")
}

func TestStreamsKeepTheirBuild(t *testing.T) {
	broken := errors.Mark(errors.New("reset"), forwarder.ErrBroken)
	all := func(build string) map[string]string { return map[string]string{"e1": build, "e2": build, "e3": build} }
	const unnamed = "unnamed"
	cases := []buildCase{
		{
			name: "taken up without its name while there is one build", entries: []string{"v1", "v1", "v1"}, builds: all("v1"), resumes: unnamed, sole: "v1",
			responses: []response{stream(io.EOF, "2")},
			check: func(t *testing.T, c *standinSink, _ *standinSender, err error) {
				require.NoError(t, err)
				assert.Equal(t, []string{"2"}, c.events)
			},
		},
		{
			name: "taken up without its name while there are several builds", entries: []string{"v1", "v2", "v1"}, resumes: unnamed,
			responses: []response{stream(io.EOF, "2")},
			check: func(t *testing.T, _ *standinSink, e *standinSender, err error) {
				assertBuildRefusal(t, err, forwarder.ErrBuildUnknown)
				assertSends(t, e, 0)
			},
		},
		{
			name: "taken up with an unknown name while there is one build", entries: []string{"v1", "v1", "v1"}, builds: all("v1"), resumes: "other", sole: "v1",
			responses: []response{stream(io.EOF, "2")},
			check: func(t *testing.T, _ *standinSink, e *standinSender, err error) {
				assertBuildRefusal(t, err, forwarder.ErrBuildUnknown)
				assertSends(t, e, 0)
			},
		},
		{
			name: "resumed at the same build", entries: []string{"v1", "v2", "v1"}, builds: map[string]string{"e1": "v1", "e2": "v2", "e3": "v1"},
			responses: []response{stream(broken, "1"), stream(io.EOF, "2")},
			check: func(t *testing.T, c *standinSink, e *standinSender, err error) {
				require.NoError(t, err)
				assert.Equal(t, []string{"1", "2"}, c.events)
				assert.Equal(t, []string{"e1", "e3"}, []string{e.attempts[0].Endpoint.ID, e.attempts[1].Endpoint.ID})
			},
		},
		{
			name: "not resumed if its build is not known", entries: []string{"v1", "v1", "v1"},
			responses: []response{stream(broken, "1"), stream(io.EOF, "2")},
			check: func(t *testing.T, c *standinSink, e *standinSender, err error) {
				assertFails(t, err, forwarder.ErrBuildUnknown)
				assertSends(t, e, 1)
			},
		},
		{
			name: "by what answered, not by the entry", entries: []string{"v1", "v1", "v2"}, builds: map[string]string{"e1": "v2", "e2": "v1", "e3": "v2"},
			responses: []response{stream(broken, "1"), stream(io.EOF, "2")},
			check: func(t *testing.T, c *standinSink, e *standinSender, err error) {
				require.NoError(t, err)
				assert.Equal(t, "e3", e.attempts[1].Endpoint.ID)
			},
		},
		{
			name: "events of another build than the entry's are not delivered", entries: []string{"v1", "v1", "v1"}, builds: map[string]string{"e1": "v1", "e2": "v2"},
			responses: []response{stream(broken, "1"), stream(io.EOF, "2")},
			check: func(t *testing.T, c *standinSink, _ *standinSender, err error) {
				require.Error(t, err)
				assert.Equal(t, []string{"1"}, c.events)
			},
		},
		{
			name: "no endpoint of its build is left", entries: []string{"v1", "v2", "v3"}, builds: map[string]string{"e1": "v4"},
			responses: []response{stream(broken, "1"), stream(io.EOF, "2")},
			check: func(t *testing.T, c *standinSink, e *standinSender, err error) {
				assertFails(t, err, forwarder.ErrBuildGone)
				assertSends(t, e, 1)
			},
		},
		{
			name: "taken up by its caller", entries: []string{"v2", "v1", "v2"}, builds: map[string]string{"e2": "v1"}, resumes: "known",
			responses: []response{stream(io.EOF, "2")},
			check: func(t *testing.T, c *standinSink, e *standinSender, err error) {
				require.NoError(t, err)
				assert.Equal(t, "e2", e.attempts[0].Endpoint.ID)
			},
		},
		{
			name: "taken up when no endpoint of its build is left", entries: []string{"v2", "v2", "v2"}, builds: all("v2"), resumes: "known",
			responses: []response{stream(io.EOF, "2")},
			check: func(t *testing.T, _ *standinSink, e *standinSender, err error) {
				assertBuildRefusal(t, err, forwarder.ErrBuildGone)
				assertSends(t, e, 0)
			},
		},
		{
			name: "taken up when its build is not known", entries: []string{"v1", "v1", "v1"}, builds: all("v1"), resumes: "other",
			responses: []response{stream(io.EOF, "2")},
			check: func(t *testing.T, _ *standinSink, e *standinSender, err error) {
				assertBuildRefusal(t, err, forwarder.ErrBuildUnknown)
				assertSends(t, e, 0)
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sender, sink, x := &standinSender{responses: c.responses}, &standinSink{}, exchange(cataloger.RetryResumable)
				x.Route.Shares = []cataloger.Share{{Service: service, Weight: 1}}
				if c.resumes != "" {
					x.LastEventID, x.Resumes = "1", c.resumes
				}
				if c.resumes == unnamed {
					x.Resumes = ""
				}
				f := newForwarder(sender)
				placerOf(f).View = func() placer.View {
					v := view()
					for i, build := range c.entries {
						v.Endpoints[service][i].Build = build
					}
					return v
				}
				builds := &standinBuilds{builds: c.builds, sole: c.sole}
				f.Builds = builds
				err := f.Run(t.Context(), x, sink)
				c.check(t, sink, sender, err)
				if c.resumes == "" {
					assert.Equal(t, []string{"id"}, builds.announced)
				} else {
					assert.Empty(t, builds.announced)
				}
			})
		})
	}
}
