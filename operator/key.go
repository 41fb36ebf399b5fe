package operator

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"slices"
)

const (
	// secretPrefix lets scanners for leaked secrets recognize the secrets of
	// bluebellstile.
	secretPrefix = "bbst_"
	// secretBytes is the number of random bytes in a secret.
	secretBytes = 32
)

// NewKey generates a key for a team and returns it with its secret. The secret
// must be handed to the team and isn't stored anywhere else. The key, which
// holds only the hash, goes into the configuration. NewKey returns an error if
// the ID is invalid.
func NewKey(id, team string) (Key, string, error) {
	if !namePattern.MatchString(id) {
		return Key{}, "", &Error{
			Kind:    KindBadName,
			Section: sectionName(sectionKey, id),
			Rule:    nameRule,
			Remedy:  "choose another id",
		}
	}
	random := make([]byte, secretBytes)
	if _, err := rand.Read(random); err != nil {
		return Key{}, "", err
	}
	secret := secretPrefix + base64.RawURLEncoding.EncodeToString(random)
	return Key{ID: id, Team: team, SHA256: HashSecret(secret)}, secret, nil
}

// HashSecret returns the hash of a secret for Key.SHA256.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// GrantKey adds k to the configuration. It returns an error if the ID is
// already used, so that an ID identifies the same key in every log and audit
// record, or if the result is invalid. After an error c is unchanged.
func (c *Config) GrantKey(k Key) error {
	if c.findKey(k.ID) != nil {
		return &Error{
			Kind:    KindDuplicate,
			Section: sectionName(sectionKey, k.ID),
			Rule:    "the id is already used",
			Remedy:  "grant the key under a new id",
		}
	}
	changed := *c
	changed.Keys = append(slices.Clone(c.Keys), k)
	if err := Validate(&changed); err != nil {
		return err
	}
	c.Keys = changed.Keys
	return nil
}

// WithdrawKey marks the key as withdrawn. It does nothing if the key is
// already withdrawn and returns an error if there is no such key.
func (c *Config) WithdrawKey(id string) error {
	if c.findKey(id) == nil {
		return unknownKeyID(id)
	}
	c.Keys = slices.Clone(c.Keys)
	c.findKey(id).Withdrawn = true
	return nil
}

// RotateKey grants the key newID with the team and the rights of oldID and
// returns it with its secret. Both keys work until WithdrawKey is called for
// oldID, so that callers can switch to the new key without interruption.
func (c *Config) RotateKey(oldID, newID string) (Key, string, error) {
	old := c.findKey(oldID)
	if old == nil {
		return Key{}, "", unknownKeyID(oldID)
	}
	if old.Withdrawn {
		return Key{}, "", &Error{
			Kind:    KindConflict,
			Section: sectionName(sectionKey, oldID),
			Rule:    "the key is withdrawn and can't be rotated",
			Remedy:  "grant the team a new key",
		}
	}
	k, secret, err := NewKey(newID, old.Team)
	if err != nil {
		return Key{}, "", err
	}
	k.Operator = old.Operator
	if err := c.GrantKey(k); err != nil {
		return Key{}, "", err
	}
	return k, secret, nil
}

// findKey returns the key with the ID, or nil if there is none.
func (c *Config) findKey(id string) *Key {
	i := slices.IndexFunc(c.Keys, func(k Key) bool { return k.ID == id })
	if i < 0 {
		return nil
	}
	return &c.Keys[i]
}

func unknownKeyID(id string) error {
	return &Error{
		Kind:    KindUnknownRef,
		Section: sectionName(sectionKey, id),
		Rule:    fmt.Sprintf("there is no key %q", id),
		Remedy:  "name a key that the configuration lists",
	}
}
