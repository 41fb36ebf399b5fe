package team

import (
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/record"
)

func TestLedger(t *testing.T) {
	balance := int64(10)
	l := NewLedger(func(string) int64 { return balance })
	if l.Reserve("x1", "red", 6, 5, 100) {
		t.Error("reserved although the bound would fall below the running tasks")
	}
	if !l.Reserve("x1", "red", 4, 5, 100) || l.Reserve("x1", "red", 1, 0, 100) {
		t.Error("the first reservation of an id must succeed and the second must not")
	}
	if bound := l.Bound("red"); bound != 6 {
		t.Errorf("bound %d with 4 reserved, want 6", bound)
	}
	balance = 6
	if bound := l.Bound("red"); bound != 2 {
		t.Errorf("bound %d between record and resolution, want 2", bound)
	}
	l.Resolve("x1")
	l.Resolve("x1")
	if bound := l.Bound("red"); bound != 6 {
		t.Errorf("bound %d after resolution, want 6", bound)
	}
	l.Reserve("x2", "red", 5, 0, 200)
	balance = 3
	if bound, excess := l.Bound("red"), l.Excess("red", 4); bound != 0 || excess != 4 {
		t.Errorf("bound %d, excess %d after a lowering", bound, excess)
	}
	if ids := l.Expire(200 + record.SeenWindow - 1); ids != nil {
		t.Errorf("%v expired although its transfer may still become valid", ids)
	}
	if ids := l.Expire(200 + record.SeenWindow); len(ids) != 1 || l.Bound("red") != 3 {
		t.Errorf("expired %v, bound %d", ids, l.Bound("red"))
	}
}

func TestNewestTasks(t *testing.T) {
	tasks := []Task{{ID: "a", Started: 1}, {ID: "c", Started: time.Second}, {ID: "b", Started: time.Second}}
	got := NewestTasks(tasks, 2)
	if len(got) != 2 || got[0].ID != "b" || got[1].ID != "c" || len(NewestTasks(tasks, 9)) != 3 || len(NewestTasks(tasks, -1)) != 0 {
		t.Errorf("newest %v", got)
	}
}
