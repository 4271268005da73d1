package packer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lacewingrelay/lacewingrelay/internal/state/peertracker"
	"github.com/lacewingrelay/lacewingrelay/internal/state/recorder"
)

var testPacker = Packer{Key: []byte("the nodes' shared key")}

func heartbeat(name string, sequence uint64) peertracker.Heartbeat {
	return peertracker.Heartbeat{
		Name: name, Domain: "bursa", Address: netip.MustParseAddrPort("127.0.0.1:7200"),
		Incarnation: 7, Sequence: sequence, Applied: 42,
		Suspects: []peertracker.Suspect{{Fingerprint: 9, Crashes: 1}},
		PartSuspects: []peertracker.PartSuspect{
			{Part: 5, Used: 3 * time.Second, Crashes: []peertracker.PartCrash{{Endpoint: 1, Observer: 2, Age: time.Minute}, {Endpoint: 3, Observer: 4}}},
			{Part: 6, HasSurvived: true},
		},
	}
}

func pack(t *testing.T, message Message) []byte {
	t.Helper()
	datagram, err := testPacker.Pack(message)
	require.NoError(t, err)
	return datagram
}

func TestPackAndUnpack(t *testing.T) {
	message := Message{
		Sender:  heartbeat("n1", 1),
		Clock:   recorder.Stamp{Wall: time.Unix(1, 5), Counter: 3},
		Digests: []peertracker.Heartbeat{heartbeat("n2", 8)},
	}
	got, err := testPacker.Unpack(pack(t, message))
	require.NoError(t, err)
	assert.Equal(t, message, got)
}

func TestPackAndUnpackReject(t *testing.T) {
	datagram := pack(t, Message{Sender: heartbeat("n1", 1)})
	t.Run("another key", func(t *testing.T) {
		_, err := Packer{Key: []byte("another key")}.Unpack(datagram)
		assert.True(t, errors.Is(err, ErrNotAuthentic))
	})
	t.Run("every changed byte", func(t *testing.T) {
		for i := range datagram {
			changed := append([]byte(nil), datagram...)
			changed[i] ^= 1
			_, err := testPacker.Unpack(changed)
			assert.Error(t, err, "byte %d", i)
		}
	})
	t.Run("every truncation", func(t *testing.T) {
		for n := range datagram {
			_, err := testPacker.Unpack(datagram[:n])
			assert.Error(t, err, "%d bytes", n)
		}
	})
	t.Run("a message over the limit", func(t *testing.T) {
		message := Message{Sender: heartbeat("n1", 1)}
		for range 40 {
			message.Digests = append(message.Digests, heartbeat("another-node", 1))
		}
		_, err := testPacker.Pack(message)
		assert.True(t, errors.Is(err, ErrTooLarge))
	})
}

// TestViewIgnoresOutdatedDatagrams checks that late, duplicate and reordered
// datagrams leave the view in the state of the latest one.
func TestViewIgnoresOutdatedDatagrams(t *testing.T) {
	now := time.Unix(100, 0)
	orders := map[string][]uint64{"in order": {1, 2, 3}, "duplicate": {3, 3, 3}, "reordered": {3, 1, 2}, "late": {2, 3, 1}}
	for name, sequences := range orders {
		t.Run(name, func(t *testing.T) {
			view := &peertracker.View{Domain: "bursa", SameDomainTimeout: time.Minute}
			for _, sequence := range sequences {
				message, err := testPacker.Unpack(pack(t, Message{Sender: heartbeat("n1", sequence)}))
				require.NoError(t, err)
				view.Observe(now, message.Sender)
			}
			alive := view.Alive(now)
			require.Len(t, alive, 1)
			assert.Equal(t, uint64(3), alive[0].Sequence)
		})
	}
}

func FuzzUnpack(f *testing.F) {
	datagram, _ := testPacker.Pack(Message{Sender: heartbeat("n1", 1)})
	f.Add(datagram)
	f.Add([]byte{version})
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = testPacker.Unpack(data) })
}
