package record

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// FuzzDecode checks that a record that Decode accepts is the same after
// another round of encoding and decoding.
func FuzzDecode(f *testing.F) {
	seeds := []*Envelope{
		{Kind: KindConfig, Config: &Config{Text: "text", Expected: 3, Author: "ops"}},
		{Kind: KindClaim, Seen: 9, Claim: &Claim{Zone: "a", Holder: "h", Address: "1:2", Previous: 4}},
		{Kind: KindTransfer, Transfer: &Transfer{ID: "x", Team: "red", From: "a", To: "b", Amount: 2, Epoch: 4}},
		{Kind: KindJobs, Jobs: &Jobs{Zone: "a", Epoch: 4, Jobs: []Job{{ID: "j", Inputs: [][]byte{{1}, nil}}}}},
		{Kind: KindSnapshot, Snapshot: &Snapshot{Zone: "a", Parts: 1, Teams: []TeamBalance{{Team: "red", Balances: map[string]int64{"a": 1}}}}},
	}
	for _, e := range seeds {
		data, err := Encode(e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add(bytes.Repeat([]byte{0x9f}, 64))
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(e)
		if err != nil {
			return // the full encoding of a record may exceed MaxBytes
		}
		back, err := Decode(again)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(e, back, cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
	})
}
