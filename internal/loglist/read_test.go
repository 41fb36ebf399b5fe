package loglist

import (
	"encoding/json"
	"testing"
)

// FuzzPage decodes arbitrary response bodies and checks that a page that passes
// validation has its records in ascending order below the end, so that a reader
// makes progress to the end of the log.
func FuzzPage(f *testing.F) {
	f.Add([]byte(`{"records":[{"offset":3,"id":"a","data":"aGk="},{"offset":4,"id":"b"}],"first":2,"end":5}`), uint64(3))
	f.Add([]byte(`{"records":[{"offset":3},{"offset":3}],"first":1,"end":9}`), uint64(0))
	f.Add([]byte(`{"records":[{"offset":9}],"first":1,"end":9}`), uint64(1))
	f.Add([]byte(`{"first":7,"end":6}`), uint64(1))
	f.Add([]byte(`{}`), uint64(0))
	f.Fuzz(func(t *testing.T, body []byte, from uint64) {
		var page ReadResponse
		if err := json.Unmarshal(body, &page); err != nil || page.validate(from) != nil {
			return
		}
		last := max(from, page.First, 1) - 1
		for _, record := range page.Records {
			if record.Offset <= last || record.Offset >= page.End {
				t.Fatalf("record %d after %d passed in a page to %d", record.Offset, last, page.End)
			}
			last = record.Offset
		}
	})
}
