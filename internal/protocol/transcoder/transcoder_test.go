package transcoder

import (
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/state/configurator"
	"github.com/lacewingrelay/lacewingrelay/internal/state/indexer"
)

var objects = []configurator.Object{
	configurator.Domain{Name: "bursa", Region: "marmara", Hosts: 2},
	configurator.Ceiling{Name: "site", Watts: 900.5, Shares: map[string]float64{"bursa": 900.5}},
	configurator.Priority{Name: "chat", Rank: 1, Deadline: time.Second},
	configurator.Team{Name: "members", KeyHash: "ab", Rate: 1.5, Burst: 2, Concurrency: 3},
	configurator.Service{
		Name: "llm", Type: configurator.ServiceModel, Priority: "chat", Objective: configurator.ObjectiveRecompute,
		Fencing: true, Concurrency: 8, IdleWatts: 1, RunWatts: 2, Timeout: time.Second,
	},
	configurator.Model{Name: "usta", Service: "llm", Version: "v1"},
	configurator.Version{Name: "v1", Model: "usta", Weights: "w1"},
	configurator.Store{Name: "hafiza", Domain: "bursa", Bytes: 1, LinkBytes: 2},
	configurator.Retention{Name: "claims", Keep: time.Hour, Log: time.Minute},
}

var claims = []indexer.Record{
	{Type: indexer.TypeClaim, Key: indexer.NewKey("t", "k"), Attempt: indexer.Attempt{Process: 1, Counter: 2}, Digest: indexer.Digest{3}, Remaining: time.Hour},
	{Type: indexer.TypeOutcome, Key: indexer.Key{1}, Answer: &indexer.Answer{Status: 201, Header: http.Header{"Location": {"/x"}}, Body: []byte("ok")}},
	{Type: indexer.TypeRelease, Key: indexer.Key{1}},
	{Type: indexer.TypeRenewal, Key: indexer.Key{1}, Remaining: time.Second, Base: 9, Answer: &indexer.Answer{Status: 200, Omitted: true}},
	{Type: indexer.TypeTick, Base: 9, Elapsed: time.Second},
}

func TestObjectsRoundTrip(t *testing.T) {
	for _, object := range objects {
		t.Run(object.Ref().String(), func(t *testing.T) {
			data, err := EncodeObject(object)
			require.NoError(t, err)
			decoded, err := DecodeObject(data)
			require.NoError(t, err)
			assert.Equal(t, object, decoded)
		})
	}
}

func TestClaimsRoundTrip(t *testing.T) {
	for _, record := range claims {
		t.Run(string(record.Type), func(t *testing.T) {
			data, err := EncodeClaim(record)
			require.NoError(t, err)
			decoded, err := DecodeClaim(data)
			require.NoError(t, err)
			assert.Equal(t, record, decoded)
		})
	}
}

func TestRecordsRoundTrip(t *testing.T) {
	record := configurator.Record{ID: "x", Base: 3, Rules: 1}
	for _, object := range objects {
		record.Changes = append(record.Changes, configurator.Put(object), configurator.Delete(object.Ref()))
	}
	data, err := EncodeRecord(record)
	require.NoError(t, err)
	decoded, err := DecodeRecord(data)
	require.NoError(t, err)
	assert.Equal(t, record, decoded)
}

func assertMalformed(t *testing.T, err error) {
	t.Helper()
	assert.True(t, errors.Is(err, ErrMalformed), "%v", err)
}

func TestDecodeRejectsMalformedInput(t *testing.T) {
	inputs := map[string]string{
		"truncated":              `{"type":"claim"`,
		"unknown type":           `{"type":"steal","key":"00000000000000000000000000000000","process":1,"counter":1}`,
		"unknown field":          `{"type":"release","key":"00000000000000000000000000000000","process":1,"counter":1,"more":1}`,
		"short key":              `{"type":"release","key":"00","process":1,"counter":1}`,
		"outcome without answer": `{"type":"outcome","key":"00000000000000000000000000000000","process":1,"counter":1}`,
		"two values":             `{"type":"release","key":"00000000000000000000000000000000","process":1,"counter":1}{}`,
	}
	for name, input := range inputs {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeClaim([]byte(input))
			assertMalformed(t, err)
		})
	}
	t.Run("a change that contains another object", func(t *testing.T) {
		_, err := DecodeRecord([]byte(`{"id":"x","base":0,"rules":1,"changes":[{"op":"put","kind":"domain","name":"a","object":{"kind":"domain","name":"b","region":"","hosts":1}}]}`))
		assertMalformed(t, err)
	})
}

// TestRecordWithNewerRulesIsNotMalformed checks that a record that needs newer
// rules is not reported as malformed. Otherwise the node would skip the record
// instead of stopping at it.
func TestRecordWithNewerRulesIsNotMalformed(t *testing.T) {
	record, err := DecodeRecord([]byte(`{"id":"x","rules":2,"mystery":[1,2]}`))
	require.NoError(t, err)
	assert.Equal(t, 2, record.Rules)
}

func FuzzDecodeClaim(f *testing.F) {
	for _, record := range claims {
		data, _ := EncodeClaim(record)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = DecodeClaim(data) })
}

func FuzzDecodeRecord(f *testing.F) {
	data, _ := EncodeRecord(configurator.Record{ID: "x", Rules: 1, Changes: []configurator.Change{configurator.Put(objects[0])}})
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = DecodeRecord(data) })
}

func FuzzDecodeDeclaration(f *testing.F) {
	data, _ := EncodeDeclaration(Declaration{Rules: 1, Objects: objects})
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = DecodeDeclaration(data) })
}

func FuzzDecodeSnapshot(f *testing.F) {
	data, _ := EncodeSnapshot(configurator.Snapshot{Next: 2, Held: []configurator.Held{{Ref: objects[0].Ref(), Object: objects[0], Offset: 1}}})
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = DecodeSnapshot(data) })
}
