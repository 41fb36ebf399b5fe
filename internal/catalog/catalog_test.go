package catalog

import "testing"

// TestKeyOfTwoCustomers guards against daemons, or two versions of a configuration, that
// count a key in the sets of several customers as that of different ones.
func TestKeyOfTwoCustomers(t *testing.T) {
	const rounds = 100
	for range rounds {
		c := &Catalog{Customers: map[string]Customer{
			"c": {Name: "c", Keys: []string{"shared", "own"}},
			"a": {Name: "a", Keys: []string{"shared"}},
			"b": {Name: "b", Keys: []string{"shared"}},
		}}
		if err := c.Index(); err != nil {
			t.Fatal(err)
		}
		if owner, _ := c.CustomerOfKey("shared"); owner != "a" {
			t.Fatalf("the shared key belongs to %q, want a", owner)
		}
		if owner, _ := c.CustomerOfKey("own"); owner != "c" {
			t.Fatalf("the key of c belongs to %q", owner)
		}
	}
}
