package dialer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/archiver"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/evictor"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/fingerprinter"
	"github.com/lacewingrelay/lacewingrelay/internal/state/registrar"
)

const (
	manifestPrefix = "m-"
	dataPrefix     = "d-"
	// storeTimeout limits a request to a store host, from connecting to the end
	// of the response.
	storeTimeout = 5 * time.Second
	// transferTimeout limits an engine's export or import of blocks.
	transferTimeout = 30 * time.Second
)

// Store is the client of store hosts. It implements archiver.Store.
type Store struct {
	Pools *Pools
}

type wireManifest struct {
	Block    string `json:"block"`
	Position int    `json:"position"`
	DataName string `json:"data"`
	Bytes    int64  `json:"bytes"`
	Checksum string `json:"checksum"`
	ReturnMS int64  `json:"return_ms,omitempty"`
	Group    string `json:"group,omitempty"`
}

func decodeManifest(data []byte) (archiver.Manifest, error) {
	var wire wireManifest
	if err := json.Unmarshal(data, &wire); err != nil {
		return archiver.Manifest{}, errors.Wrap(err, "decode manifest")
	}
	if wire.Block == "" || wire.DataName == "" || wire.Bytes <= 0 || wire.Checksum == "" {
		return archiver.Manifest{}, errors.New("manifest lacks its block, data, size or checksum")
	}
	return archiver.Manifest{
		Block:      fingerprinter.Block(wire.Block),
		Position:   wire.Position,
		DataName:   wire.DataName,
		Bytes:      wire.Bytes,
		Checksum:   wire.Checksum,
		ReturnTime: time.Duration(wire.ReturnMS) * time.Millisecond,
		Group:      evictor.Group(wire.Group),
	}, nil
}

// FindManifests implements archiver.Store. It skips manifests that can't be
// decoded.
func (s *Store) FindManifests(ctx context.Context, host netip.AddrPort, blocks []fingerprinter.Block) (map[fingerprinter.Block]archiver.StoredManifest, error) {
	names := make([]string, 0, len(blocks))
	for _, block := range blocks {
		names = append(names, manifestPrefix+string(block))
	}
	var reply wireBlobs
	request := map[string][]string{"names": names}
	if _, err := sendJSON(ctx, s.Pools, storeTimeout, host, http.MethodPost, "/v1/read", request, &reply); err != nil {
		return nil, err
	}
	found := map[fingerprinter.Block]archiver.StoredManifest{}
	for _, listed := range reply.manifests() {
		found[listed.Block] = listed
	}
	return found, nil
}

// WriteManifest implements archiver.Store.
func (s *Store) WriteManifest(ctx context.Context, host netip.AddrPort, manifest archiver.Manifest) error {
	wire := wireManifest{
		Block:    string(manifest.Block),
		Position: manifest.Position,
		DataName: manifest.DataName,
		Bytes:    manifest.Bytes,
		Checksum: manifest.Checksum,
		ReturnMS: manifest.ReturnTime.Milliseconds(),
		Group:    string(manifest.Group),
	}
	status, err := sendJSON(ctx, s.Pools, storeTimeout, host, http.MethodPut, blobPath(manifestPrefix+wire.Block), wire, nil)
	switch status {
	case http.StatusPreconditionFailed:
		return errors.Wrap(archiver.ErrManifestExists, wire.Block)
	case http.StatusInsufficientStorage:
		return errors.Wrap(archiver.ErrFull, wire.Block)
	}
	return err
}

// DeleteManifest implements archiver.Store.
func (s *Store) DeleteManifest(ctx context.Context, host netip.AddrPort, block fingerprinter.Block) error {
	return s.remove(ctx, host, manifestPrefix+string(block))
}

// DeleteData implements archiver.Store.
func (s *Store) DeleteData(ctx context.Context, host netip.AddrPort, data string) error {
	return s.remove(ctx, host, dataPrefix+data)
}

func (s *Store) remove(ctx context.Context, host netip.AddrPort, name string) error {
	_, err := sendJSON(ctx, s.Pools, storeTimeout, host, http.MethodDelete, blobPath(name), nil, nil)
	return err
}

// Usage implements archiver.Store.
func (s *Store) Usage(ctx context.Context, host netip.AddrPort) (used, capacity int64, err error) {
	var usage struct {
		Bytes    int64 `json:"bytes"`
		Capacity int64 `json:"capacity"`
	}
	_, err = sendJSON(ctx, s.Pools, storeTimeout, host, http.MethodGet, "/v1/usage", nil, &usage)
	return usage.Bytes, usage.Capacity, err
}

type wireBlobs struct {
	Blobs []struct {
		Name   string `json:"name"`
		IdleMS int64  `json:"idle_ms"`
		Reads  int    `json:"reads"`
		Data   []byte `json:"data"`
	} `json:"blobs"`
}

// ListManifests implements archiver.Store.
func (s *Store) ListManifests(ctx context.Context, host netip.AddrPort) ([]archiver.StoredManifest, error) {
	var reply wireBlobs
	if _, err := sendJSON(ctx, s.Pools, storeTimeout, host, http.MethodGet, "/v1/blobs?prefix="+manifestPrefix, nil, &reply); err != nil {
		return nil, err
	}
	return reply.manifests(), nil
}

// manifests decodes the listed manifests and skips those that are invalid.
func (w wireBlobs) manifests() []archiver.StoredManifest {
	var listed []archiver.StoredManifest
	for _, blob := range w.Blobs {
		manifest, err := decodeManifest(blob.Data)
		if err != nil {
			continue
		}
		listed = append(listed, archiver.StoredManifest{
			Manifest: manifest,
			Idle:     time.Duration(blob.IdleMS) * time.Millisecond,
			Lookups:  blob.Reads,
		})
	}
	return listed
}

// ListData returns the names of a host's data blobs, without prefix, with their
// idle times.
func (s *Store) ListData(ctx context.Context, host netip.AddrPort) (map[string]time.Duration, error) {
	var reply wireBlobs
	if _, err := sendJSON(ctx, s.Pools, storeTimeout, host, http.MethodGet, "/v1/blobs?prefix="+dataPrefix, nil, &reply); err != nil {
		return nil, err
	}
	names := map[string]time.Duration{}
	for _, blob := range reply.Blobs {
		names[strings.TrimPrefix(blob.Name, dataPrefix)] = time.Duration(blob.IdleMS) * time.Millisecond
	}
	return names, nil
}

func blobPath(name string) string { return "/v1/blobs/" + url.PathEscape(name) }

type wireTransfers struct {
	Items []wireTransfer `json:"items"`
}

type wireTransfer struct {
	Block         string `json:"block"`
	URL           string `json:"url"`
	Bytes         int64  `json:"bytes,omitempty"`
	Checksum      string `json:"checksum,omitempty"`
	Failed        bool   `json:"failed,omitempty"`
	AlreadyCached bool   `json:"held,omitempty"`
}

// Export implements archiver.Mover.
func (e *Engine) Export(ctx context.Context, endpoint registrar.Endpoint, transfers []archiver.Transfer) ([]archiver.Transfer, error) {
	return e.transferBlocks(ctx, endpoint, "/v1/kv/export", transfers)
}

// Import implements archiver.Mover.
func (e *Engine) Import(ctx context.Context, endpoint registrar.Endpoint, transfers []archiver.Transfer) ([]archiver.Transfer, error) {
	return e.transferBlocks(ctx, endpoint, "/v1/kv/import", transfers)
}

func (e *Engine) transferBlocks(ctx context.Context, endpoint registrar.Endpoint, path string, transfers []archiver.Transfer) ([]archiver.Transfer, error) {
	var request, reply wireTransfers
	for _, transfer := range transfers {
		request.Items = append(request.Items, wireTransfer{
			Block:    string(transfer.Block),
			URL:      endpointURL(transfer.Store, blobPath(dataPrefix+transfer.DataName)),
			Bytes:    transfer.Bytes,
			Checksum: transfer.Checksum,
		})
	}
	if _, err := sendJSON(ctx, e.Pools, transferTimeout, endpoint.Address, http.MethodPost, path, request, &reply); err != nil {
		return nil, err
	}
	if len(reply.Items) != len(transfers) {
		return nil, errors.Newf("%s returned results for %d of %d blocks", endpoint.Name, len(reply.Items), len(transfers))
	}
	results := make([]archiver.Transfer, 0, len(transfers))
	for i, item := range reply.Items {
		transfer := transfers[i]
		transfer.Bytes = item.Bytes
		transfer.Checksum = item.Checksum
		transfer.Failed = item.Failed || item.Block != string(transfer.Block)
		transfer.AlreadyCached = item.AlreadyCached
		results = append(results, transfer)
	}
	return results, nil
}

// sendJSON sends a JSON request and decodes the JSON response into out. The
// timeout limits the whole exchange. It returns the status code, and an error
// for any status other than 2xx. A PUT only creates: it fails if the target
// exists.
func sendJSON(ctx context.Context, pools *Pools, timeout time.Duration, address netip.AddrPort, method, target string, in, out any) (int, error) {
	var body io.Reader = http.NoBody
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return 0, err
		}
		body = bytes.NewReader(encoded)
	}
	ctx, ex := startExchange(ctx, timeout)
	defer ex.release()
	request, err := http.NewRequestWithContext(ctx, method, endpointURL(address, target), body)
	if err != nil {
		return 0, err
	}
	if method == http.MethodPut {
		request.Header.Set("If-None-Match", "*")
	}
	response, err := pools.get(address).RoundTrip(request)
	if err != nil {
		return 0, pools.handleFailure(ex, address, err)
	}
	defer drainBody(response.Body)
	if response.StatusCode/100 != 2 {
		return response.StatusCode, errors.Newf("%s %s answered %s", method, target, response.Status)
	}
	if out == nil {
		return response.StatusCode, nil
	}
	return response.StatusCode, json.NewDecoder(io.LimitReader(response.Body, maxControlBytes)).Decode(out)
}
