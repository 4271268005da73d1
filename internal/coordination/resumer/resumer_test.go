package resumer_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/resumer"
	"github.com/lacewingrelay/lacewingrelay/internal/state/endpointtracker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
)

const maxAge = 1800 * time.Millisecond

var address = netip.MustParseAddrPort("10.0.0.1:80")

// entry returns the entry of a process that started some time ago.
func entry(build string, age time.Duration) endpointtracker.Endpoint {
	return endpointtracker.Endpoint{ID: "e1", Service: "llm", Address: address, Build: build, StartedAt: time.Now().Add(-age).Truncate(time.Millisecond)}
}

func newProcesses() *resumer.Processes { return &resumer.Processes{MaxAge: maxAge, Now: time.Now} }

// assertBuild checks the build of an answer; an empty one means that it is not known.
func assertBuild(t *testing.T, p *resumer.Processes, beginning resumer.Beginning, want string) {
	t.Helper()
	build, known := p.Build(beginning)
	assert.Equal(t, want != "", known)
	assert.Equal(t, want, build.Version)
}

func run(t *testing.T, name string, check func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, check) })
}

// TestBuildOfAnswer guards against a build that is taken from a directory that is out of date,
// as another process with the same id may have answered.
func TestBuildOfAnswer(t *testing.T) {
	run(t, "of the process that was just seen alive", func(t *testing.T) {
		p, e := newProcesses(), entry("v1", time.Hour)
		p.Observe(e, true)
		time.Sleep(time.Second)
		assertBuild(t, p, p.Begin(e), "v1")
	})
	run(t, "is not known from a listing, until the entry is renewed", func(t *testing.T) {
		p, e := newProcesses(), entry("v1", time.Hour)
		p.Observe(e, false)
		beginning := p.Begin(e)
		assertBuild(t, p, beginning, "")
		time.Sleep(time.Second)
		p.Observe(e, true)
		assertBuild(t, p, beginning, "v1")
	})
	run(t, "is not known after a long silence", func(t *testing.T) {
		p, e := newProcesses(), entry("v1", time.Hour)
		p.Observe(e, true)
		time.Sleep(2 * maxAge)
		assertBuild(t, p, p.Begin(e), "")
	})
	run(t, "is known if the process itself said when it started", func(t *testing.T) {
		p, e := newProcesses(), entry("v1", time.Hour)
		p.Observe(e, false)
		p.ObserveAlive(address, e.StartedAt.Add(time.Minute))
		assertBuild(t, p, p.Begin(e), "")
		p.ObserveAlive(address, e.StartedAt)
		assertBuild(t, p, p.Begin(e), "v1")
	})
	run(t, "of a later process with the id, although its entry comes after the answer", func(t *testing.T) {
		p, old := newProcesses(), entry("v1", time.Hour)
		p.Observe(old, true)
		time.Sleep(4 * time.Second)
		later := entry("v2", 2*time.Second)
		beginning := p.Begin(old)
		assertBuild(t, p, beginning, "")
		p.Observe(later, true)
		assertBuild(t, p, beginning, "v2")
	})
	run(t, "of the former process, if the later one started after the answer began", func(t *testing.T) {
		p, old := newProcesses(), entry("v1", time.Hour)
		p.Observe(old, true)
		beginning := p.Begin(old)
		time.Sleep(4 * time.Second)
		p.Observe(entry("v2", time.Second), true)
		assertBuild(t, p, beginning, "v1")
	})
	run(t, "is not known if the clocks leave both processes possible", func(t *testing.T) {
		p, old := newProcesses(), entry("v1", time.Hour)
		p.Observe(old, true)
		beginning := p.Begin(old)
		p.Observe(entry("v2", -100*time.Millisecond), true)
		assertBuild(t, p, beginning, "")
	})
	run(t, "is not known if the entry has none", func(t *testing.T) {
		p, e := newProcesses(), entry("", time.Hour)
		p.Observe(e, true)
		assertBuild(t, p, p.Begin(e), "")
	})
	run(t, "is not known from what was read after a standstill", func(t *testing.T) {
		s, e := newStreams(nil), entry("v1", time.Hour)
		s.Collect()
		time.Sleep(5 * time.Second)
		s.Observe(e, true)
		assertBuild(t, s.Processes, s.Begin(e), "")
		s.Collect()
		s.Observe(e, true)
		assertBuild(t, s.Processes, s.Begin(e), "")
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			s.Collect()
		}
		s.Observe(e, true)
		assertBuild(t, s.Processes, s.Begin(e), "v1")
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
		p.Observe(other("e1", "llm", "v1"), true)
		p.Observe(other("e2", "llm", "v1"), false)
		p.Observe(other("e3", "plain", "v2"), true)
		assertSole(t, p, "v1")
	})
	run(t, "until two minutes after an endpoint of another build was last listed", func(t *testing.T) {
		p := newProcesses()
		p.Observe(other("e2", "llm", "v2"), true)
		time.Sleep(time.Minute)
		p.Observe(other("e1", "llm", "v1"), true)
		assertSole(t, p, "")
		time.Sleep(time.Minute)
		p.Observe(other("e1", "llm", "v1"), true)
		assertSole(t, p, "v1")
	})
	run(t, "not if nothing was heard of any", func(t *testing.T) {
		p := newProcesses()
		assertSole(t, p, "")
		p.Observe(other("e1", "llm", "v1"), true)
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
	run(t, "own streams are told of once", func(t *testing.T) {
		s, e := newStreams(nil), entry("v1", time.Hour)
		s.Observe(e, true)
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
		s.Observe(e, true)
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
