package forward

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the headers that apply to a single connection (RFC 9110,
// section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// fingerprintBytes is the length of a fingerprint before hex encoding.
const fingerprintBytes = 16

// EndToEndHeaders returns a copy of src without hop-by-hop headers: those
// that always apply to a single connection, and those listed in Connection.
func EndToEndHeaders(src http.Header) http.Header {
	dst := src.Clone()
	for _, field := range src["Connection"] {
		for _, name := range strings.Split(field, ",") {
			dst.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		dst.Del(name)
	}
	return dst
}

// fingerprint identifies the request to the quarantine. Requests with the
// same method, path, query and buffered body are assumed to have the same
// effect on an upstream.
func fingerprint(r *http.Request, body [sha256.Size]byte) string {
	h := sha256.New()
	hashField(h, r.Method)
	hashField(h, r.URL.Path)
	hashField(h, r.URL.RawQuery)
	h.Write(body[:])
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}
