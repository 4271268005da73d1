package forwarder

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
)

// fingerprint identifies requests with the same caller, method, host, target and
// body. It includes the caller, and the fields are length-prefixed, so no caller
// can send a request that has the fingerprint of another caller's request.
func (x *Exchange) fingerprint() uint64 {
	sum := sha256.New()
	for _, field := range []string{x.Caller, x.Method, x.Host, x.Target} {
		_ = binary.Write(sum, binary.BigEndian, uint32(len(field)))
		_, _ = io.WriteString(sum, field)
	}
	_, _ = sum.Write(x.Body)
	return binary.BigEndian.Uint64(sum.Sum(nil))
}
