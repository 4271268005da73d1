package dialer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

// ErrUnchanged is returned when the host list has not changed since it was last
// decoded.
var ErrUnchanged = errors.New("host list is unchanged")

// Hosts is the client of the platform's host list. It is not safe for concurrent
// use.
type Hosts struct {
	Address netip.AddrPort
	HTTP    *http.Client

	// etag is the entity tag of the last list that was decoded.
	etag string
}

type wireHosts struct {
	Hosts []struct {
		Name    string `json:"name"`
		Service string `json:"service"`
		Domain  string `json:"domain"`
		Address string `json:"address"`
		State   string `json:"state"`
	} `json:"hosts"`
}

const stateLeaving = "leaving"

// List returns the host list, or ErrUnchanged. Nodes are listed as endpoints of
// the service registrar.NodeService. An invalid entry fails the whole call, so
// that a malformed list never removes endpoints.
func (h *Hosts) List(ctx context.Context) ([]registrar.Endpoint, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, endpointURL(h.Address, "/v1/hosts"), nil)
	if err != nil {
		return nil, err
	}
	if h.etag != "" {
		request.Header.Set("If-None-Match", h.etag)
	}
	response, err := h.HTTP.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "read host list")
	}
	defer drainBody(response.Body)
	if response.StatusCode == http.StatusNotModified {
		return nil, ErrUnchanged
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("host list request failed with status %s", response.Status)
	}
	var wire wireHosts
	if err := json.NewDecoder(io.LimitReader(response.Body, maxControlBytes)).Decode(&wire); err != nil {
		return nil, errors.Wrap(err, "read host list")
	}
	endpoints, err := decodeHosts(wire)
	if err == nil {
		h.etag = response.Header.Get("ETag")
	}
	return endpoints, err
}

func decodeHosts(wire wireHosts) ([]registrar.Endpoint, error) {
	endpoints := make([]registrar.Endpoint, 0, len(wire.Hosts))
	for _, host := range wire.Hosts {
		address, err := netip.ParseAddrPort(host.Address)
		if err != nil {
			return nil, errors.Wrapf(err, "address of host %s", host.Name)
		}
		endpoints = append(endpoints, registrar.Endpoint{
			Name:    host.Name,
			Service: host.Service,
			Domain:  host.Domain,
			Address: address,
			Leaving: host.State == stateLeaving,
		})
	}
	return endpoints, nil
}
