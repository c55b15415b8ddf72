package forwarder

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"strings"
)

// contentDigest returns a digest of the request by which it is known when it comes again. The
// account is a part of it, so that no account learns of another one's requests. The id and the
// other headers are not: they differ from one sending to the next. It is computed when it is first
// asked for.
func (c *call) contentDigest() uint64 {
	if c.digest == 0 {
		c.digest = digestContent(c.http.Method, c.http.Host, c.http.RequestURI, c.accountName(), c.body)
	}
	return c.digest
}

// digestContent returns a digest of what identifies a request. It is never 0.
func digestContent(method, host, target, account string, body []byte) uint64 {
	hash := sha256.New()
	for _, field := range []string{method, strings.ToLower(host), target, account} {
		// The length keeps two fields apart.
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = hash.Write([]byte(field))
	}
	_, _ = hash.Write(body)
	return max(1, binary.BigEndian.Uint64(hash.Sum(nil)))
}

// formatDigest returns a digest as log lines show it.
func formatDigest(digest uint64) string { return strconv.FormatUint(digest, 16) }
