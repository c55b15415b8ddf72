// Package pinner keeps conversations on the version that they started on. It does
// so with a signed token that the client sends back, and with a table of pins for
// clients that send only their own conversation id.
package pinner

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"quetzalgrade.example/quetzalgrade/internal/compiler"
)

// tokenPrefix identifies a conversation token and its format version.
const tokenPrefix = "qc1."

// ErrInvalidToken is returned for a token that is malformed or was not signed for
// the account by this cluster.
var ErrInvalidToken = errors.New("malformed token or signature mismatch")

// Signer signs and verifies conversation tokens.
type Signer struct {
	keys [][]byte
}

// NewSigner returns a signer with the given HMAC-SHA256 keys. It signs with the
// first key and accepts tokens that were signed with any of the keys.
func NewSigner(keys ...[]byte) *Signer { return &Signer{keys: keys} }

// Sign returns the token of a conversation. The token is signed but not
// encrypted, and contains no secret.
func (s *Signer) Sign(account, conversation string, version compiler.VersionID) string {
	payload := encodeField(conversation) + "." + encodeField(version.String())
	return tokenPrefix + payload + "." + mac(s.keys[0], account, payload)
}

// IsToken reports whether the text has the prefix of a token. It does not verify
// the signature.
func IsToken(text string) bool { return strings.HasPrefix(text, tokenPrefix) }

// Open verifies a token and returns its conversation and version. It returns
// ErrInvalidToken if the token is not valid for the account.
func (s *Signer) Open(account, token string) (conversation string, version compiler.VersionID, err error) {
	payload, signature, found := cutLast(strings.TrimPrefix(token, tokenPrefix))
	if !IsToken(token) || !found || !s.validSignature(account, payload, signature) {
		return "", version, ErrInvalidToken
	}
	encodedConversation, encodedVersion, _ := strings.Cut(payload, ".")
	conversation, err = decodeField(encodedConversation)
	if err != nil {
		return "", version, ErrInvalidToken
	}
	text, err := decodeField(encodedVersion)
	if err != nil {
		return "", version, ErrInvalidToken
	}
	version, ok := compiler.ParseVersion(text)
	if !ok {
		return "", version, ErrInvalidToken
	}
	return conversation, version, nil
}

func (s *Signer) validSignature(account, payload, signature string) bool {
	return slices.ContainsFunc(s.keys, func(key []byte) bool {
		return hmac.Equal([]byte(signature), []byte(mac(key, account, payload)))
	})
}

func mac(key []byte, account, payload string) string {
	hash := hmac.New(sha256.New, key)
	hash.Write([]byte(account))
	hash.Write([]byte{0})
	hash.Write([]byte(payload))
	return base64.RawURLEncoding.EncodeToString(hash.Sum(nil))
}

func cutLast(text string) (before, after string, found bool) {
	index := strings.LastIndexByte(text, '.')
	if index < 0 {
		return "", "", false
	}
	return text[:index], text[index+1:], true
}

func encodeField(text string) string { return base64.RawURLEncoding.EncodeToString([]byte(text)) }

func decodeField(text string) (string, error) {
	data, err := base64.RawURLEncoding.DecodeString(text)
	return string(data), err
}

// Key identifies a conversation of an account.
type Key struct {
	Account      string
	Conversation string
}

type pin struct {
	version  string
	lastUsed time.Time
}

// Table holds the pins of the conversations that are assigned to this daemon. It
// is not safe for concurrent use.
type Table struct {
	pins    map[Key]pin
	ttl     time.Duration
	maxPins int
}

// NewTable returns a table that holds at most maxPins pins. A pin expires when it
// has not been used for ttl.
func NewTable(ttl time.Duration, maxPins int) *Table {
	return &Table{pins: map[Key]pin{}, ttl: ttl, maxPins: maxPins}
}

// Pin returns the version that a conversation is pinned to. If there is no
// unexpired pin, or if the pinned version equals replaced, Pin sets the pin to
// version, unless version is empty. It returns "" if there is no pin.
func (t *Table) Pin(key Key, version, replaced string, now time.Time) string {
	existing, ok := t.pins[key]
	replaces := replaced != "" && version != "" && existing.version == replaced
	if ok && !replaces && now.Sub(existing.lastUsed) < t.ttl {
		existing.lastUsed = now
		t.pins[key] = existing
		return existing.version
	}
	if version == "" {
		return ""
	}
	if len(t.pins) >= t.maxPins {
		t.evict(now)
	}
	t.pins[key] = pin{version: version, lastUsed: now}
	return version
}

// Len returns the number of pins.
func (t *Table) Len() int { return len(t.pins) }

// Range calls visit for each pin that has not expired.
func (t *Table) Range(now time.Time, visit func(key Key, version string)) {
	for key, entry := range t.pins {
		if now.Sub(entry.lastUsed) < t.ttl {
			visit(key, entry.version)
		}
	}
}

// evict removes the expired pins that it finds while it samples pins. If the table
// is still full, it removes the least recently used pin of the sample.
func (t *Table) evict(now time.Time) {
	const sampleSize = 64
	var leastRecent Key
	var leastRecentUse time.Time
	sampled := 0
	for key, entry := range t.pins {
		if now.Sub(entry.lastUsed) >= t.ttl {
			delete(t.pins, key)
			continue
		}
		if sampled++; leastRecentUse.IsZero() || entry.lastUsed.Before(leastRecentUse) {
			leastRecent, leastRecentUse = key, entry.lastUsed
		}
		if sampled >= sampleSize {
			break
		}
	}
	if len(t.pins) >= t.maxPins {
		delete(t.pins, leastRecent)
	}
}
