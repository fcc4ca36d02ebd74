package forward

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/textproto"
	"strings"

	"balsamcourse.example/balsamcourse/internal/quarantine"
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

// sign returns the signature of the request for the quarantine: method, path, query
// and buffered body, and the same with any query.
func sign(service string, r *http.Request, body [sha256.Size]byte) quarantine.Signature {
	fingerprint := func(query string) string {
		h := sha256.New()
		hashField(h, r.Method)
		hashField(h, r.URL.Path)
		hashField(h, query)
		h.Write(body[:])
		return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
	}
	return quarantine.Signature{Service: service, Exact: fingerprint(r.URL.RawQuery), General: []string{fingerprint(anyQuery)}}
}

// anyQuery stands for the query of a request. No query has a space.
const anyQuery = " *"
