package forward

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// fingerprintBytes is the length of a fingerprint before encoding.
const fingerprintBytes = 16

// EndToEndHeaders returns the headers of src without those that concern one
// connection only.
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

// fingerprint identifies requests that are alike enough to break an upstream
// in the same way.
func fingerprint(r *http.Request, body [sha256.Size]byte) string {
	h := sha256.New()
	writeField(h, r.Method)
	writeField(h, r.URL.Path)
	writeField(h, r.URL.RawQuery)
	h.Write(body[:])
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}
