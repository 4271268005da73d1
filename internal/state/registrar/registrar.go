// Package registrar keeps the table of endpoints, built from the platform's
// host list and from the load reports that the endpoints return. It is used by
// the nodes of command lacewingrelay; relay nodes on the platform use
// endpointtracker instead.
//
// # Usage
//
//	table := registrar.New()
//	table.Replace(entries)
//	table.Report("usta-llm-1", now, report)
//	rows := table.Rows()
package registrar

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// NodeService is the service name under which the host list contains the
// nodes, that is, the hosts that run this program.
const NodeService = "lacewingrelay"

// Endpoint is one endpoint of a service as listed in the host list.
type Endpoint struct {
	Name    string
	Service string
	Domain  string
	Address netip.AddrPort
	Leaving bool
}

// Report is an endpoint's load report, completed with the node's own count
// OwnRunning. It may be out of date.
type Report struct {
	// Version is the name of the weights that serve new requests.
	Version string
	Running int
	// OwnRunning is the number of this node's requests among Running, counted when
	// the report was requested.
	OwnRunning int
	// QueuedTokens is the number of prompt tokens waiting for prefill.
	QueuedTokens int
	Watts        float64
	Leaving      bool
	// Loading is set while new weights are being loaded.
	Loading bool
	// PrefillRate is the measured prefill speed in tokens per second.
	PrefillRate float64
}

// EndpointState is a row of the table: an endpoint with its latest load report.
type EndpointState struct {
	Endpoint
	Report     Report
	ReportedAt time.Time
	// Failures is the number of failed load requests since the last successful
	// one.
	Failures int
}

// OtherRunning returns the number of requests on the endpoint that other nodes
// sent.
func (r EndpointState) OtherRunning() int { return max(r.Report.Running-r.Report.OwnRunning, 0) }

// IsLeaving reports whether the endpoint must not receive new requests.
func (r EndpointState) IsLeaving() bool { return r.Leaving || r.Report.Leaving }

// Table holds all known endpoints. It is owned by the control goroutine and not
// safe for concurrent use.
type Table struct {
	rows map[string]EndpointState
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: map[string]EndpointState{}}
}

// Replace applies a new host list. Endpoints that are still listed at the same
// address keep their load reports.
func (t *Table) Replace(endpoints []Endpoint) {
	rows := make(map[string]EndpointState, len(endpoints))
	for _, endpoint := range endpoints {
		row := EndpointState{Endpoint: endpoint}
		previous, ok := t.rows[endpoint.Name]
		if ok && previous.Address == endpoint.Address {
			row = previous
			row.Endpoint = endpoint
		}
		rows[endpoint.Name] = row
	}
	t.rows = rows
}

// Report stores an endpoint's load report and resets its failure count. Reports
// of unknown endpoints are ignored.
func (t *Table) Report(name string, now time.Time, report Report) {
	row, ok := t.rows[name]
	if !ok {
		return
	}
	row.Report = report
	row.ReportedAt = now
	row.Failures = 0
	t.rows[name] = row
}

// RecordFailure counts a failed load request.
func (t *Table) RecordFailure(name string) {
	row, ok := t.rows[name]
	if !ok {
		return
	}
	row.Failures++
	t.rows[name] = row
}

// Rows returns all endpoints ordered by name.
func (t *Table) Rows() []EndpointState {
	rows := make([]EndpointState, 0, len(t.rows))
	for _, row := range t.rows {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b EndpointState) int { return strings.Compare(a.Name, b.Name) })
	return rows
}
