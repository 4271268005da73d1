package exchanger

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
)

// fingerprint recognizes a request that comes again: the same caller, path and
// body. Nobody can make a request that is taken for another caller's.
func (x *Exchange) fingerprint() uint64 {
	sum := sha256.New()
	for _, field := range []string{x.Caller, x.Method, x.Host, x.Target} {
		_ = binary.Write(sum, binary.BigEndian, uint32(len(field)))
		_, _ = io.WriteString(sum, field)
	}
	_, _ = sum.Write(x.Body)
	return binary.BigEndian.Uint64(sum.Sum(nil))
}
