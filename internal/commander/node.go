package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/protocol/renderer"
	"github.com/lacewingrelay/lacewingrelay/internal/protocol/reporter"
)

// ErrNode marks a call to a node that failed, or that was answered with an
// error status or an invalid body.
var ErrNode = errors.New("node did not answer")

func callNode(ctx context.Context, method, target, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return nil, errors.Mark(err, ErrNode)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Mark(err, ErrNode)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Mark(err, ErrNode)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, errors.Wrapf(ErrNode, "%s: %s", response.Status, body)
	}
	return body, nil
}

// ShowStatus prints a node's status with its view of peers and endpoints.
type ShowStatus struct {
	Node netip.AddrPort
	JSON bool
	Out  io.Writer
}

// Run fetches the status from the node and prints it.
func (s *ShowStatus) Run(ctx context.Context) error {
	body, err := callNode(ctx, http.MethodGet, "http://"+s.Node.String()+"/v1/status", "")
	if err != nil {
		return err
	}
	if s.JSON {
		_, err := fmt.Fprintf(s.Out, "%s\n", body)
		return err
	}
	status, err := reporter.DecodeStatus(body)
	if err != nil {
		return errors.Mark(err, ErrNode)
	}
	return s.print(status)
}

func (s *ShowStatus) print(status reporter.Status) error {
	fmt.Fprintf(s.Out, "%s in %s: ready %t, leaving %t, configuration %d, queued %d, watts %g (peak %g)\n",
		status.Node, status.Domain, status.Ready, status.Leaving, status.Applied, status.Queued, status.Watts, status.PeakWatts)
	if status.Alarm != "" {
		fmt.Fprintf(s.Out, "ALARM: %s\n", status.Alarm)
	}
	table := tabwriter.NewWriter(s.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "NODE\tDOMAIN\tCONFIGURATION\tLEAVING\tSILENT")
	for _, peer := range status.Peers {
		fmt.Fprintf(table, "%s\t%s\t%d\t%t\t%.1fs\n", peer.Name, peer.Domain, peer.Applied, peer.Leaving, peer.SinceHeartbeat.Seconds())
	}
	fmt.Fprintln(table, "ENDPOINT\tSERVICE\tDOMAIN\tWEIGHTS\tRUNNING\tLEAVING\tFAILURES")
	for _, endpoint := range status.Endpoints {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%t\t%d\n",
			endpoint.Name, endpoint.Service, endpoint.Domain, endpoint.Weights, endpoint.Running, endpoint.Leaving, endpoint.Failures)
	}
	return table.Flush()
}

// Timeline prints the merged events of all nodes in order.
type Timeline struct {
	Node netip.AddrPort
	// Request and Kind filter the events. Empty values match all.
	Request string
	Kind    string
	// Format is text, json or html.
	Format string
	Out    io.Writer
}

// Run fetches the events from the node and prints them.
func (t *Timeline) Run(ctx context.Context) error {
	render, err := renderer.Get(t.Format)
	if err != nil {
		return errors.Mark(err, ErrInput)
	}
	query := url.Values{"request": {t.Request}, "kind": {t.Kind}}
	body, err := callNode(ctx, http.MethodGet, "http://"+t.Node.String()+"/v1/events?"+query.Encode(), "")
	if err != nil {
		return err
	}
	events, err := renderer.DecodeJSON(body)
	if err != nil {
		return err
	}
	return render(t.Out, events)
}

// Drain starts a node's graceful shutdown, which the command's help and output
// call a planned stop. Other nodes see the node as leaving.
type Drain struct {
	Node netip.AddrPort
	Key  string
	Out  io.Writer
}

// Run sends the request to the node and does not wait for the shutdown to end.
func (d *Drain) Run(ctx context.Context) error {
	if _, err := callNode(ctx, http.MethodPost, "http://"+d.Node.String()+"/v1/drain", d.Key); err != nil {
		return err
	}
	_, err := fmt.Fprintln(d.Out, "planned stop has begun; the node ends once its requests have their answers")
	return err
}
