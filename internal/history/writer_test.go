package history_test

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/bluebellstile/bluebellstile/internal/history"
)

func TestWriteAndRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "history.jsonl")
	var wg sync.WaitGroup
	const writers, each = 4, 50
	for range writers {
		writer, err := history.OpenWriter(path)
		if err != nil {
			t.Fatal(err)
		}
		wg.Go(func() {
			for i := range each {
				if err := writer.Write(history.Event{UnixNano: int64(each - i), Kind: history.TaskEnded}); err != nil {
					t.Error(err)
				}
			}
			if err := writer.Close(); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	appendText(t, path, `{"unix_nano":1,"kind":"task_st`)
	events, err := history.Read(path)
	if err != nil {
		t.Fatal(err)
	}
	if len(events) != writers*each {
		t.Fatalf("got %d events, want %d", len(events), writers*each)
	}
	for i, event := range events {
		if want := int64(i/writers + 1); event.UnixNano != want {
			t.Fatalf("event %d has time %d, want %d", i, event.UnixNano, want)
		}
	}
}

func TestReadRefusesBrokenLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "history.jsonl")
	appendText(t, path, "{\"kind\":\"task_started\"}\nnot JSON\n")
	if _, err := history.Read(path); err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Fatalf("got error %v, want one that names line 2", err)
	}
}

func TestWriterStampsAndKeepsItsError(t *testing.T) {
	path := filepath.Join(t.TempDir(), "history.jsonl")
	writer, err := history.OpenWriter(path)
	if err != nil {
		t.Fatal(err)
	}
	want := history.Event{Kind: history.EndpointUp, Endpoint: "w1", Slots: 8}
	if err := writer.Write(want); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := writer.Write(want); err == nil {
			t.Fatal("wrote to a closed file")
		}
	}
	events, err := history.Read(path)
	if err != nil || len(events) != 1 || events[0].UnixNano == 0 {
		t.Fatalf("events %+v, %v", events, err)
	}
	events[0].UnixNano = 0
	if diff := cmp.Diff(want, events[0]); diff != "" {
		t.Fatal(diff)
	}
	var nilWriter *history.Writer
	if err := nilWriter.Write(want); err != nil {
		t.Fatal(err)
	}
}

func appendText(t *testing.T, path, text string) {
	t.Helper()
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := file.WriteString(text); err != nil {
		t.Fatal(err)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
}
