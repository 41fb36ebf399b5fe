package operator

import (
	"errors"
	"strings"
	"testing"
)

func TestNewKeyStoresOnlyTheHash(t *testing.T) {
	k, secret, err := NewKey("press-2", "press")
	if err != nil {
		t.Fatal(err)
	}
	if k.SHA256 != HashSecret(secret) || k.Team != "press" || k.ID != "press-2" {
		t.Errorf("got %+v", k)
	}
	other, otherSecret, err := NewKey("press-2", "press")
	if err != nil || otherSecret == secret || other.SHA256 == k.SHA256 {
		t.Errorf("two keys share a secret (%v)", err)
	}
	if _, _, err := NewKey("Press 2", "press"); err == nil {
		t.Error("accepted a bad id")
	}
}

func TestRotateKeyLeavesBothKeysActive(t *testing.T) {
	c := sampleConfig()
	granted, secret, err := c.RotateKey("press-1", "press-2")
	if err != nil {
		t.Fatal(err)
	}
	if text := mustPrint(t, c); strings.Contains(text, secret) {
		t.Fatal("the secret is published")
	}
	old, next := c.findKey("press-1"), c.findKey("press-2")
	if old.Withdrawn || next.Withdrawn || *next != granted || next.Team != "press" || next.SHA256 != HashSecret(secret) {
		t.Fatalf("both keys must be active: %+v %+v", old, next)
	}
	if err := c.WithdrawKey("press-1"); err != nil {
		t.Fatal(err)
	}
	if !c.findKey("press-1").Withdrawn || c.findKey("press-2").Withdrawn {
		t.Fatal("the wrong key is withdrawn")
	}
	if err := Validate(c); err != nil {
		t.Fatal(err)
	}
}

func TestRotateKeyKeepsOperatorRights(t *testing.T) {
	c := sampleConfig()
	if _, _, err := c.RotateKey("admin", "admin-2"); err != nil {
		t.Fatal(err)
	}
	if !c.findKey("admin-2").Operator {
		t.Error("the new key lost its rights")
	}
}

func TestRejectedKeyChangeLeavesConfigUnchanged(t *testing.T) {
	tests := map[string]struct {
		change func(*Config) error
		kind   ErrorKind
	}{
		"grant a used id":      {func(c *Config) error { return c.GrantKey(c.Keys[0]) }, KindDuplicate},
		"grant to no team":     {func(c *Config) error { return c.GrantKey(Key{ID: "x", Team: "ghost", SHA256: HashSecret("x")}) }, KindUnknownRef},
		"withdraw unknown":     {func(c *Config) error { return c.WithdrawKey("ghost") }, KindUnknownRef},
		"rotate unknown":       {func(c *Config) error { _, _, err := c.RotateKey("ghost", "x"); return err }, KindUnknownRef},
		"rotate to a used id":  {func(c *Config) error { _, _, err := c.RotateKey("press-1", "admin"); return err }, KindDuplicate},
		"rotate withdrawn key": {rotateWithdrawn, KindConflict},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := sampleConfig()
			keys := len(c.Keys)
			var e *Error
			if err := test.change(c); !errors.As(err, &e) || e.Kind != test.kind {
				t.Errorf("got %v, want %s", err, test.kind)
			}
			if len(c.Keys) != keys {
				t.Error("a rejected change left a key in the configuration")
			}
		})
	}
}

func rotateWithdrawn(c *Config) error {
	if err := c.WithdrawKey("press-1"); err != nil {
		return err
	}
	_, _, err := c.RotateKey("press-1", "press-2")
	return err
}
