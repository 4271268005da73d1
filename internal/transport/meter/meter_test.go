package meter_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lacewingrelay/lacewingrelay/internal/transport/meter"
)

func scrape(m *meter.Meter) string {
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return recorder.Body.String()
}

func TestRequests(t *testing.T) {
	m := meter.New("n1", "d1")
	defer m.Close()
	requests := meter.Requests{Scope: m.Scope}
	requests.Request("llm", "answered", 20*time.Millisecond)
	requests.Attempt("llm", "streamed")
	requests.FirstEvent("llm", 15*time.Millisecond, time.Millisecond)
	for _, want := range []string{
		`lacewingrelay_requests{domain="d1",node="n1",outcome="answered",service="llm"} 1`,
		`lacewingrelay_request_seconds_count{domain="d1",node="n1",outcome="answered",service="llm"} 1`,
		`lacewingrelay_attempts{domain="d1",node="n1",outcome="streamed",service="llm"} 1`,
		`lacewingrelay_first_event_seconds_count{domain="d1",node="n1",service="llm"} 1`,
	} {
		assert.Eventually(t, func() bool { return strings.Contains(scrape(m), want+"\n") }, 10*time.Second, 50*time.Millisecond, want)
	}
}
