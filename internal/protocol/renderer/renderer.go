// Package renderer prints time lines as text, JSON or one HTML page.
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

// ErrUnknownFormat marks a format that no renderer has.
var ErrUnknownFormat = errors.New("unknown time line format")

// Render prints a time line.
type Render func(w io.Writer, events []recorder.Event) error

var registry = map[string]Render{
	"text": Text,
	"json": JSON,
	"html": HTML,
}

// Get returns the renderer of a format. It returns ErrUnknownFormat.
func Get(format string) (Render, error) {
	render, ok := registry[format]
	if !ok {
		return nil, errors.Wrapf(ErrUnknownFormat, "%q", format)
	}
	return render, nil
}

const clock = "15:04:05.000000"

// Text prints one event a line.
func Text(w io.Writer, events []recorder.Event) error {
	for _, event := range events {
		_, err := fmt.Fprintf(w, "%s %-12s %-11s %-24s %-14s %s\n",
			event.Stamp.Wall.UTC().Format(clock), event.Node, event.Kind, event.Request, event.Endpoint, detail(event))
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

// JSON prints an array with one event a line.
func JSON(w io.Writer, events []recorder.Event) error {
	wires := make([]wireEvent, 0, len(events))
	for _, event := range events {
		wires = append(wires, encode(event))
	}
	encoder := json.NewEncoder(w)
	return encoder.Encode(wires)
}

// DecodeJSON reads what JSON has printed.
func DecodeJSON(data []byte) ([]recorder.Event, error) {
	var wires []wireEvent
	if err := json.Unmarshal(data, &wires); err != nil {
		return nil, errors.Wrap(err, "time line")
	}
	events := make([]recorder.Event, 0, len(wires))
	for _, wire := range wires {
		wall, err := time.Parse(time.RFC3339Nano, wire.Time)
		if err != nil {
			return nil, errors.Wrap(err, "time line")
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

func encode(event recorder.Event) wireEvent {
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

var page = template.Must(template.New("timeline").Parse(`<!doctype html>
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

// HTML prints one self-contained page.
func HTML(w io.Writer, events []recorder.Event) error {
	rows := make([]wireEvent, 0, len(events))
	for _, event := range events {
		row := encode(event)
		row.Time = event.Stamp.Wall.UTC().Format(clock)
		row.Detail = detail(event)
		rows = append(rows, row)
	}
	return page.Execute(w, rows)
}
