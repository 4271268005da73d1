package resumer_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/resumer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

const maxAge = 1800 * time.Millisecond

// entry returns the entry of a process that started some time ago.
func entry(build string, age time.Duration) endpointtracker.Endpoint {
	return endpointtracker.Endpoint{ID: "e1", Service: "llm", Build: build, StartedAt: time.Now().Add(-age).Truncate(time.Millisecond)}
}

func newProcesses() *resumer.Processes { return &resumer.Processes{MaxAge: maxAge, Now: time.Now} }

// assertBuild checks the build of an answer; an empty one means that it is not known.
func assertBuild(t *testing.T, p *resumer.Processes, beginning resumer.Beginning, want string, confirmed bool) {
	t.Helper()
	build, known, isConfirmed := p.Build(beginning)
	assert.Equal(t, want != "", known)
	assert.Equal(t, want, build.Version)
	assert.Equal(t, confirmed, isConfirmed)
}

// observe records an entry that has just been read.
func observe(p *resumer.Processes, endpoint endpointtracker.Endpoint) {
	p.Observe(endpoint)
	p.RecordRead(time.Now())
}

func run(t *testing.T, name string, check func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, check) })
}

// TestBuildOfAnswer guards against a build that is taken from a directory that is out of date,
// as another process with the same id may have answered.
func TestBuildOfAnswer(t *testing.T) {
	run(t, "of the process that the directory lists", func(t *testing.T) {
		p, e := newProcesses(), entry("v1", time.Hour)
		observe(p, e)
		time.Sleep(time.Second)
		beginning := p.Begin(e)
		assertBuild(t, p, beginning, "v1", false)
		p.RecordRead(time.Now().Add(-time.Second))
		time.Sleep(time.Second)
		assertBuild(t, p, beginning, "v1", false)
		p.RecordRead(time.Now())
		assertBuild(t, p, beginning, "v1", true)
	})
	run(t, "is not known while the directory can't be read, and known once it was", func(t *testing.T) {
		p, e := newProcesses(), entry("v1", time.Hour)
		observe(p, e)
		time.Sleep(2 * maxAge)
		assert.Equal(t, 2*maxAge, p.Age())
		beginning := p.Begin(e)
		assertBuild(t, p, beginning, "", false)
		time.Sleep(time.Second)
		p.RecordRead(time.Now())
		assertBuild(t, p, beginning, "v1", true)
	})
	run(t, "of a later process with the id, although its entry comes after the answer", func(t *testing.T) {
		p, old := newProcesses(), entry("v1", time.Hour)
		observe(p, old)
		time.Sleep(time.Second)
		later := entry("v2", 0)
		time.Sleep(700 * time.Millisecond)
		beginning := p.Begin(old)
		assertBuild(t, p, beginning, "v1", false)
		time.Sleep(100 * time.Millisecond)
		observe(p, later)
		assertBuild(t, p, beginning, "v2", false)
	})
	run(t, "of the former process, if the later one started after the answer began", func(t *testing.T) {
		p, old := newProcesses(), entry("v1", time.Hour)
		observe(p, old)
		beginning := p.Begin(old)
		time.Sleep(4 * time.Second)
		observe(p, entry("v2", time.Second))
		assertBuild(t, p, beginning, "v1", true)
	})
	run(t, "is not known if the clocks leave both processes possible", func(t *testing.T) {
		p, old := newProcesses(), entry("v1", time.Hour)
		observe(p, old)
		beginning := p.Begin(old)
		observe(p, entry("v2", -100*time.Millisecond))
		assertBuild(t, p, beginning, "", false)
	})
	run(t, "is not known if the entry has none", func(t *testing.T) {
		p, e := newProcesses(), entry("", time.Hour)
		observe(p, e)
		assertBuild(t, p, p.Begin(e), "", false)
	})
	run(t, "of an endpoint that was removed since", func(t *testing.T) {
		p, e := newProcesses(), entry("v1", time.Hour)
		observe(p, e)
		beginning := p.Begin(e)
		p.SetListed(map[string][]endpointtracker.Endpoint{"llm": {e}})
		p.SetListed(nil)
		time.Sleep(time.Minute)
		p.SetListed(nil)
		assertBuild(t, p, beginning, "v1", false)
		time.Sleep(2 * time.Minute)
		p.SetListed(nil)
		assertBuild(t, p, beginning, "", false)
	})
	run(t, "of an endpoint whose entry has not changed for long", func(t *testing.T) {
		p, e := newProcesses(), entry("v1", time.Hour)
		p.Observe(e)
		for range 3 {
			p.SetListed(map[string][]endpointtracker.Endpoint{"llm": {e}})
			time.Sleep(time.Hour)
		}
		p.RecordRead(time.Now())
		assertBuild(t, p, p.Begin(e), "v1", false)
	})
}

func TestSoleBuild(t *testing.T) {
	assertSole := func(t *testing.T, p *resumer.Processes, want string) {
		t.Helper()
		build, known := p.Sole("llm")
		assert.Equal(t, want != "", known)
		if known {
			assert.Equal(t, resumer.Build{Service: "llm", Version: want}, build)
		}
	}
	other := func(id, service, build string) endpointtracker.Endpoint {
		e := entry(build, time.Hour)
		e.ID, e.Service = id, service
		return e
	}
	run(t, "of all endpoints of the service", func(t *testing.T) {
		p := newProcesses()
		observe(p, other("e1", "llm", "v1"))
		observe(p, other("e2", "llm", "v1"))
		observe(p, other("e3", "plain", "v2"))
		assertSole(t, p, "v1")
	})
	run(t, "until two minutes after an endpoint of another build was last listed", func(t *testing.T) {
		p, e := newProcesses(), other("e1", "llm", "v1")
		observe(p, other("e2", "llm", "v2"))
		observe(p, e)
		time.Sleep(time.Minute)
		p.SetListed(map[string][]endpointtracker.Endpoint{"llm": {e}})
		p.RecordRead(time.Now())
		assertSole(t, p, "")
		time.Sleep(time.Minute)
		p.RecordRead(time.Now())
		assertSole(t, p, "v1")
	})
	run(t, "not while the directory can't be read", func(t *testing.T) {
		p := newProcesses()
		assertSole(t, p, "")
		observe(p, other("e1", "llm", "v1"))
		time.Sleep(2 * maxAge)
		assertSole(t, p, "")
	})
}

// newStreams returns streams that ask for what they don't know.
func newStreams(ask func(stream uint64) (resumer.Build, bool)) *resumer.Streams {
	return &resumer.Streams{Processes: newProcesses(), Ask: func(_ context.Context, stream uint64) (resumer.Build, bool) {
		if ask == nil {
			return resumer.Build{}, false
		}
		return ask(stream)
	}}
}

func assertOrigin(t *testing.T, s *resumer.Streams, id, want string) {
	t.Helper()
	build, known := s.Origin(t.Context(), id)
	assert.Equal(t, want != "", known, id)
	assert.Equal(t, want, build.Version, id)
}

func TestStreams(t *testing.T) {
	add := func(s *resumer.Streams, id, build string) {
		s.Add([]peertracker.StreamBuild{{Stream: resumer.StreamHash(id), Service: "llm", Build: build}})
	}
	run(t, "a build that turns out to be another one is not known", func(t *testing.T) {
		s, e := newStreams(nil), entry("v1", time.Hour)
		observe(s.Processes, e)
		time.Sleep(time.Second)
		later := entry("v2", 0)
		time.Sleep(700 * time.Millisecond)
		s.Announce("id", s.Begin(e))
		assert.Len(t, s.Collect(), 1)
		assertOrigin(t, s, "id", "v1")
		time.Sleep(time.Second)
		observe(s.Processes, later)
		assert.Len(t, s.Collect(), 1)
		assertOrigin(t, s, "id", "")
	})
	run(t, "own streams are told of once", func(t *testing.T) {
		s, e := newStreams(nil), entry("v1", time.Hour)
		observe(s.Processes, e)
		s.Announce("id", s.Begin(e))
		assertOrigin(t, s, "id", "v1")
		assert.Len(t, s.Collect(), 1)
		assert.Empty(t, s.Collect())
		assertOrigin(t, s, "id", "v1")
	})
	run(t, "not those whose build is not known in time", func(t *testing.T) {
		s, e := newStreams(nil), entry("v1", time.Hour)
		s.Announce("id", s.Begin(e))
		assert.Empty(t, s.Collect())
		time.Sleep(time.Minute)
		assert.Empty(t, s.Collect())
		observe(s.Processes, e)
		assert.Empty(t, s.Collect())
	})
	run(t, "peers are asked for others", func(t *testing.T) {
		s := newStreams(func(stream uint64) (resumer.Build, bool) {
			return resumer.Build{Service: "llm", Version: "v3"}, stream == resumer.StreamHash("id")
		})
		assertOrigin(t, s, "id", "v3")
		_, known := s.Origin(t.Context(), "")
		assert.False(t, known)
	})
	run(t, "an id that two builds have begun is not known", func(t *testing.T) {
		s := newStreams(nil)
		add(s, "id", "v1")
		add(s, "id", "v1")
		assertOrigin(t, s, "id", "v1")
		add(s, "id", "v2")
		add(s, "id", "v1")
		assertOrigin(t, s, "id", "")
	})
	run(t, "are kept for half a minute and forgotten after a minute", func(t *testing.T) {
		s := newStreams(nil)
		add(s, "id", "v1")
		time.Sleep(29 * time.Second)
		add(s, "later", "v1")
		time.Sleep(2 * time.Second)
		add(s, "next", "v1")
		assertOrigin(t, s, "id", "v1")
		time.Sleep(time.Minute)
		add(s, "last", "v1")
		assertOrigin(t, s, "id", "")
	})
	run(t, "memory is bounded", func(t *testing.T) {
		s := newStreams(nil)
		for i := range 250_000 {
			add(s, fmt.Sprint("id", i), fmt.Sprint("v", i%5000))
		}
		known := 0
		for i := range 250_000 {
			if _, ok := s.Known(resumer.StreamHash(fmt.Sprint("id", i))); ok {
				known++
			}
		}
		assert.LessOrEqual(t, known, 200_000)
		assertOrigin(t, s, "id249999", "v4999")
	})
}
