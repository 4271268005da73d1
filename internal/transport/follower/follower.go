// Package follower is the HTTP client of the platform's log service. It appends
// records to the log's streams and reads them, with long polling.
//
// The node's code for the log service's wire format is in this package only.
//
// # Usage
//
//	client := &follower.Client{Address: address, HTTP: httpClient}
//	page, err := client.Read(ctx, "configuration", 0, time.Second)
package follower

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingrelay/lacewingrelay/internal/coordination/claimer"
	"github.com/lacewingrelay/lacewingrelay/internal/coordination/replicator"
)

// pageLimit is the largest number of records in one read.
const pageLimit = 1000

// ErrReadFailed marks the error of a read that failed for any reason: no
// connection, an error status or a malformed page.
var ErrReadFailed = errors.New("log service is unreachable")

// Client is a client of the log service. Its fields are set before use.
type Client struct {
	Address netip.AddrPort
	HTTP    *http.Client
}

type wireAppend struct {
	Records [][]byte `json:"records"`
}

type wireAppended struct {
	First uint64 `json:"first"`
}

type wirePage struct {
	Oldest  uint64       `json:"oldest"`
	Next    uint64       `json:"next"`
	Records []wireRecord `json:"records"`
}

type wireRecord struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Append appends records to a stream and returns the offset of the first. An
// error is marked claimer.ErrNotAppended if the records were certainly not
// appended, and claimer.ErrAppendUnknown otherwise.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	body, err := json.Marshal(wireAppend{Records: records})
	if err != nil {
		return 0, errors.Mark(err, claimer.ErrNotAppended)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream, nil), bytes.NewReader(body))
	if err != nil {
		return 0, errors.Mark(err, claimer.ErrNotAppended)
	}
	// Without GetBody the HTTP client can't retry the request, which might append
	// the records twice.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := c.HTTP.Do(request)
	if err != nil {
		return 0, appendError(err)
	}
	defer response.Body.Close()
	return decodeAppended(response)
}

func appendError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return errors.Mark(err, claimer.ErrNotAppended)
	}
	return errors.Mark(err, claimer.ErrAppendUnknown)
}

func decodeAppended(response *http.Response) (uint64, error) {
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
		return 0, errors.Wrapf(claimer.ErrNotAppended, "log answered %s", response.Status)
	}
	if response.StatusCode != http.StatusOK {
		return 0, errors.Wrapf(claimer.ErrAppendUnknown, "log answered %s", response.Status)
	}
	var appended wireAppended
	if err := json.NewDecoder(response.Body).Decode(&appended); err != nil {
		return 0, errors.Mark(err, claimer.ErrAppendUnknown)
	}
	return appended.First, nil
}

// Read returns records of a stream, starting at an offset. If there is none
// yet, the log service waits for one up to the given time, which must be below
// the timeout of HTTP. Errors are marked ErrReadFailed.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (replicator.Page, error) {
	return c.ReadPage(ctx, stream, from, pageLimit, wait)
}

// ReadPage is like Read but returns at most limit records.
func (c *Client) ReadPage(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (replicator.Page, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("limit", strconv.Itoa(limit))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(stream, query), nil)
	if err != nil {
		return replicator.Page{}, errors.Mark(err, ErrReadFailed)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return replicator.Page{}, errors.Mark(err, ErrReadFailed)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return replicator.Page{}, errors.Wrapf(ErrReadFailed, "log answered %s", response.Status)
	}
	var wire wirePage
	if err := json.NewDecoder(response.Body).Decode(&wire); err != nil {
		return replicator.Page{}, errors.Mark(err, ErrReadFailed)
	}
	return decodePage(wire), nil
}

func decodePage(wire wirePage) replicator.Page {
	page := replicator.Page{Oldest: wire.Oldest, Next: wire.Next}
	for _, record := range wire.Records {
		page.Records = append(page.Records, replicator.Record(record))
	}
	return page
}

func (c *Client) url(stream string, query url.Values) string {
	target := url.URL{
		Scheme:   "http",
		Host:     c.Address.String(),
		Path:     fmt.Sprintf("/v1/streams/%s/records", stream),
		RawQuery: query.Encode(),
	}
	return target.String()
}
