package dialer

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

// ErrUnchanged is returned for a host list that is the same as the last one.
var ErrUnchanged = errors.New("host list is unchanged")

// Hosts is the adapter to the platform's host list. It belongs to one goroutine.
type Hosts struct {
	Address netip.AddrPort
	HTTP    *http.Client

	// tag is the entity tag of the last list that was read.
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

// List returns the endpoints and nodes on the host list, or ErrUnchanged. An
// entry that can't be read fails the whole list, so that a bad list never
// empties the table.
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
		return nil, errors.Wrap(err, "host list")
	}
	defer drainBody(response.Body)
	if response.StatusCode == http.StatusNotModified {
		return nil, ErrUnchanged
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("host list answered %s", response.Status)
	}
	var wire wireHosts
	if err := json.NewDecoder(response.Body).Decode(&wire); err != nil {
		return nil, errors.Wrap(err, "host list")
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
			return nil, errors.Wrapf(err, "host %s", host.Name)
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
