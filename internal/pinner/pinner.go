// Package pinner keeps conversations on the version they started on: by a
// signed token that the caller returns, and by a table of pins for callers
// that send only their own conversation id.
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

// tokenPrefix marks a token and its layout.
const tokenPrefix = "qc1."

// ErrToken is returned for a token that this cluster did not sign for the
// account.
var ErrInvalidToken = errors.New("conversation token is not valid")

// Signer signs and reads conversation tokens.
type Signer struct {
	keys [][]byte
}

// NewSigner returns a signer with HMAC-SHA256 keys: the first one signs, and
// tokens of all of them are read.
func NewSigner(keys ...[]byte) *Signer { return &Signer{keys: keys} }

// Sign returns the token of a conversation. It holds no secret.
func (s *Signer) Sign(account, conversation string, version compiler.VersionID) string {
	payload := encodeField(conversation) + "." + encodeField(version.String())
	return tokenPrefix + payload + "." + mac(s.keys[0], account, payload)
}

// IsToken reports whether the text claims to be a token.
func IsToken(text string) bool { return strings.HasPrefix(text, tokenPrefix) }

// Open checks a token and returns its conversation and version.
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

// Key names a conversation of an account.
type Key struct {
	Account      string
	Conversation string
}

type pin struct {
	version  string
	lastUsed time.Time
}

// Table holds pins for the conversations that this daemon is chosen for. It is
// not safe for concurrent use.
type Table struct {
	pins    map[Key]pin
	ttl     time.Duration
	maxPins int
}

// NewTable returns a table that forgets a pin after life without use and holds
// at most bound pins.
func NewTable(ttl time.Duration, maxPins int) *Table {
	return &Table{pins: map[Key]pin{}, ttl: ttl, maxPins: maxPins}
}

// Pin returns the version of a conversation. When there is none, or the one
// given as replaced, it sets the given version, unless that is empty.
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

// All calls visit for each pin that has not lapsed.
func (t *Table) Range(now time.Time, visit func(key Key, version string)) {
	for key, entry := range t.pins {
		if now.Sub(entry.lastUsed) < t.ttl {
			visit(key, entry.version)
		}
	}
}

// evict drops lapsed pins, or the least recently used of a sample when none
// has lapsed.
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
