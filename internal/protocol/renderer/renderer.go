// Package renderer writes timelines as text, JSON or an HTML page.
//
// # Usage
//
//	err := renderer.Text(w, events)
package renderer

import (
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
)

// ErrUnknownFormat marks a format that is not supported.
var ErrUnknownFormat = errors.New("unknown timeline format")

// Render writes a timeline to w. It returns the error of writing to w.
type Render func(w io.Writer, events []recorder.Event) error

var renderers = map[string]Render{
	"text": Text,
	"json": JSON,
	"html": HTML,
}

// Get returns the Render function of a format: text, json or html. It returns
// ErrUnknownFormat for any other.
func Get(format string) (Render, error) {
	render, ok := renderers[format]
	if !ok {
		return nil, errors.Wrapf(ErrUnknownFormat, "%q", format)
	}
	return render, nil
}

const timeFormat = "15:04:05.000000"

// Text writes one event per line. It returns the error of writing to w.
func Text(w io.Writer, events []recorder.Event) error {
	for _, event := range events {
		_, err := fmt.Fprintf(w, "%s %-12s %-11s %-24s %-14s %s\n",
			event.Stamp.Wall.UTC().Format(timeFormat), event.Node, event.Kind, event.Request, event.Endpoint, detail(event))
		if err != nil {
			return err
		}
	}
	return nil
}

func detail(event recorder.Event) string {
	if event.Offset == 0 {
		return event.Detail
	}
	return fmt.Sprintf("%s (offset %d)", event.Detail, event.Offset)
}

type wireEvent struct {
	Time     string `json:"time"`
	Counter  uint32 `json:"counter"`
	Node     string `json:"node"`
	Kind     string `json:"kind"`
	Request  string `json:"request,omitempty"`
	Team     string `json:"team,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	Offset   uint64 `json:"offset,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

// JSON writes a JSON array of events. It returns the error of writing to w.
func JSON(w io.Writer, events []recorder.Event) error {
	encoded := make([]wireEvent, 0, len(events))
	for _, event := range events {
		encoded = append(encoded, encodeEvent(event))
	}
	encoder := json.NewEncoder(w)
	return encoder.Encode(encoded)
}

// DecodeJSON decodes the output of JSON.
func DecodeJSON(data []byte) ([]recorder.Event, error) {
	var encoded []wireEvent
	if err := json.Unmarshal(data, &encoded); err != nil {
		return nil, errors.Wrap(err, "decode timeline")
	}
	events := make([]recorder.Event, 0, len(encoded))
	for _, wire := range encoded {
		wall, err := time.Parse(time.RFC3339Nano, wire.Time)
		if err != nil {
			return nil, errors.Wrap(err, "decode time of timeline event")
		}
		events = append(events, recorder.Event{
			Stamp:    recorder.Stamp{Wall: wall, Counter: wire.Counter},
			Node:     wire.Node,
			Kind:     recorder.Kind(wire.Kind),
			Request:  wire.Request,
			Team:     wire.Team,
			Endpoint: wire.Endpoint,
			Offset:   wire.Offset,
			Detail:   wire.Detail,
		})
	}
	return events, nil
}

func encodeEvent(event recorder.Event) wireEvent {
	return wireEvent{
		Time:     event.Stamp.Wall.UTC().Format(time.RFC3339Nano),
		Counter:  event.Stamp.Counter,
		Node:     event.Node,
		Kind:     string(event.Kind),
		Request:  event.Request,
		Team:     event.Team,
		Endpoint: event.Endpoint,
		Offset:   event.Offset,
		Detail:   event.Detail,
	}
}

var htmlPage = template.Must(template.New("timeline").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>lacewingrelay time line</title>
<style>
body{font:14px/1.4 system-ui,sans-serif;margin:1.5rem;color:#222}
input{font:inherit;padding:.3rem .5rem;width:24rem;margin-bottom:1rem}
table{border-collapse:collapse;width:100%}
th,td{text-align:left;padding:.2rem .6rem;border-bottom:1px solid #e4e4e4;vertical-align:top}
th{position:sticky;top:0;background:#fff}
td.time,td.request{font-family:ui-monospace,monospace;white-space:nowrap}
tr.fail td,tr.refuse td,tr.alarm td,tr.suspect td{background:#fdecea}
tr.retry td,tr.resume td,tr.reject td{background:#fff6e0}
tr.answer td,tr.outcome td{background:#edf7ed}
</style></head><body>
<h1>Time line</h1>
<input id="filter" placeholder="filter: request, node, kind, endpoint" autofocus>
<table><thead><tr><th>time (UTC)</th><th>node</th><th>kind</th><th>request</th><th>endpoint</th><th>detail</th></tr></thead>
<tbody>{{range .}}<tr class="{{.Kind}}"><td class="time">{{.Time}}</td><td>{{.Node}}</td><td>{{.Kind}}</td><td class="request">{{.Request}}</td><td>{{.Endpoint}}</td><td>{{.Detail}}</td></tr>
{{end}}</tbody></table>
<script>
document.getElementById("filter").addEventListener("input", function (e) {
  var words = e.target.value.toLowerCase().split(/\s+/);
  document.querySelectorAll("tbody tr").forEach(function (row) {
    var text = row.textContent.toLowerCase();
    row.hidden = !words.every(function (word) { return text.includes(word); });
  });
});
</script></body></html>
`))

// HTML writes a self-contained HTML page. It returns the error of writing to w.
func HTML(w io.Writer, events []recorder.Event) error {
	rows := make([]wireEvent, 0, len(events))
	for _, event := range events {
		row := encodeEvent(event)
		row.Time = event.Stamp.Wall.UTC().Format(timeFormat)
		row.Detail = detail(event)
		rows = append(rows, row)
	}
	return htmlPage.Execute(w, rows)
}
