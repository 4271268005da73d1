// Package registrar keeps the table of endpoints from the platform's host list
// and from the endpoints' own load reports.
//
// # Usage
//
//	table := registrar.New()
//	table.Replace(entries)
//	table.Report("usta-llm-1", report)
//	endpoints := table.Serving("usta-llm")
package registrar

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// NodeService is the service name under which the host list carries the
// system's own nodes.
const NodeService = "lacewingrelay"

// Endpoint is one back end as the host list shows it.
type Endpoint struct {
	Name    string
	Service string
	Domain  string
	Address netip.AddrPort
	Leaving bool
}

// Report is an endpoint's own account of its load. It lags behind the truth.
type Report struct {
	// Version is the weight version that new requests meet.
	Version string
	Running int
	// Own is the number of this node's requests among Running, as counted when
	// the report was asked for.
	Own int
	// QueuedTokens is the number of prompt tokens that wait for prefill.
	QueuedTokens int
	Watts        float64
	Leaving      bool
	// Loading is set while new weights are being loaded.
	Loading bool
	// PrefillRate is the measured prefill speed in tokens per second.
	PrefillRate float64
}

// Row is an endpoint with its newest report.
type Row struct {
	Endpoint
	Report   Report
	Reported time.Time
	// Failures counts failed reports since the last good one.
	Failures int
}

// Others returns the number of other nodes' requests on the endpoint.
func (r Row) Others() int { return max(r.Report.Running-r.Report.Own, 0) }

// Left reports whether the endpoint must get no new work.
func (r Row) Left() bool { return r.Leaving || r.Report.Leaving }

// Table holds all known endpoints. It belongs to the control goroutine.
type Table struct {
	rows map[string]Row
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: map[string]Row{}}
}

// Replace takes in a new host list and keeps the reports of endpoints that are
// still on it at the same address.
func (t *Table) Replace(endpoints []Endpoint) {
	rows := make(map[string]Row, len(endpoints))
	for _, endpoint := range endpoints {
		row := Row{Endpoint: endpoint}
		held, ok := t.rows[endpoint.Name]
		if ok && held.Address == endpoint.Address {
			row = held
			row.Endpoint = endpoint
		}
		rows[endpoint.Name] = row
	}
	t.rows = rows
}

// Report takes in an endpoint's load report.
func (t *Table) Report(name string, now time.Time, report Report) {
	row, ok := t.rows[name]
	if !ok {
		return
	}
	row.Report = report
	row.Reported = now
	row.Failures = 0
	t.rows[name] = row
}

// Fail counts a failed load report.
func (t *Table) Fail(name string) {
	row, ok := t.rows[name]
	if !ok {
		return
	}
	row.Failures++
	t.rows[name] = row
}

// Rows returns all endpoints ordered by name.
func (t *Table) Rows() []Row {
	rows := make([]Row, 0, len(t.rows))
	for _, row := range t.rows {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Name, b.Name) })
	return rows
}
