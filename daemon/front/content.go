package front

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net/http"
	"strconv"
)

// contentID identifies what a caller asks for: requests with the same method, host, path, query,
// client account and body have the same ID at all entries, whatever their request IDs. The hash
// is a cryptographic one, so that no caller can find a request with the ID of another account's.
func contentID(r *http.Request, account string, body []byte) uint64 {
	h := sha256.New()
	for _, text := range []string{r.Method, r.Host, r.RequestURI, account} {
		// The length keeps texts apart that are the same when joined. A hash does not fail.
		_, _ = io.WriteString(h, strconv.Itoa(len(text))+":"+text)
	}
	_, _ = h.Write(body)
	return binary.BigEndian.Uint64(h.Sum(nil))
}
