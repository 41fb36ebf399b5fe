package peer

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/cell"
	peerv1 "github.com/bluebellstile/bluebellstile/internal/gen/peer/v1"
	"github.com/bluebellstile/bluebellstile/internal/gen/peer/v1/peerv1connect"
	"github.com/bluebellstile/bluebellstile/internal/holder"
	"github.com/bluebellstile/bluebellstile/internal/journal"
	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/membership"
	"github.com/bluebellstile/bluebellstile/internal/problem"
	"github.com/bluebellstile/bluebellstile/internal/record"
	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"
)

// procedures are the procedures of the peer service.
var procedures = []string{
	peerv1connect.PeerServiceHeartbeatProcedure,
	peerv1connect.PeerServiceRunProcedure,
	peerv1connect.PeerServiceSubmitJobProcedure,
	peerv1connect.PeerServiceCancelProcedure,
	peerv1connect.PeerServiceJobStatusProcedure,
	peerv1connect.PeerServiceTransferProcedure,
	peerv1connect.PeerServiceTailProcedure,
	peerv1connect.PeerServiceZoneStatusProcedure,
}

// singlePageSource is a source that returns one page of audit records, then nothing.
type singlePageSource struct{ records []loglist.Record }

// Name implements journal.Source.
func (*singlePageSource) Name() string { return "log" }

// Read implements journal.Source.
func (p *singlePageSource) Read(ctx context.Context, _ uint64, _ time.Duration) (*journal.Page, error) {
	if len(p.records) == 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	records := p.records
	p.records = nil
	return &journal.Page{Records: records, End: uint64(len(records) + 1), AsOf: time.Now(), First: 1}, nil
}

// newJournal returns a journal that has applied three records.
func newJournal(t testing.TB) *journal.Journal {
	t.Helper()
	const count = 3
	source := &singlePageSource{}
	data, err := record.Encode(&record.Envelope{Kind: record.KindAudit, Audit: &record.Audit{Action: "x"}})
	if err != nil {
		t.Fatal(err)
	}
	for offset := uint64(1); offset <= count; offset++ {
		source.records = append(source.records, loglist.Record{Offset: offset, ID: fmt.Sprint(offset), Data: data})
	}
	j := journal.New(nil, cell.New(), slog.New(slog.DiscardHandler))
	var tail tomb.Tomb
	j.Observe(func(e cell.Effect) {
		if e.Offset == count {
			tail.Kill(nil)
		}
	})
	tail.Go(func() error { return j.Run(&tail, func() []journal.Source { return []journal.Source{source} }) })
	_ = tail.Wait()
	return j
}

// newHandler returns the handler of a daemon that holds no zone.
func newHandler(t testing.TB) http.Handler {
	j := newJournal(t)
	table := membership.NewTable()
	heartbeater := NewHeartbeater(Identity{Instance: "d1", AvailabilityZone: "a"}, j, table, nil, nil, func() TermStatus { return TermStatus{} })
	jobs := func(id, _ string) (*peerv1.JobStatusResponse, *problem.Problem) {
		return nil, problem.Refuse(problem.UnknownJob, "check the job id", "no job %q", id)
	}
	_, handler := NewServer(heartbeater, table, j, func() *holder.Term { return nil }, func(uint64) *holder.Term { return nil }, "a", jobs).Handler()
	return handler
}

// post sends a request to a procedure.
func post(handler http.Handler, procedure, contentType string, body []byte) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, procedure, bytes.NewReader(body))
	request.Header.Set("Content-Type", contentType)
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, request)
	return response
}

// FuzzHandlers sends random bytes to every procedure. No handler may panic, and the
// daemon must still answer a heartbeat afterwards.
func FuzzHandlers(f *testing.F) {
	heartbeat, _ := proto.Marshal(&peerv1.HeartbeatRequest{Instance: "d2", Claims: []*peerv1.Claim{{AvailabilityZone: "b", Epoch: 1}}})
	run, _ := proto.Marshal(&peerv1.RunRequest{Ticket: "t1.a.1.1.n", AvailabilityZone: "a", DeadlineMs: -1})
	tail, _ := proto.Marshal(&peerv1.TailRequest{From: 0, Limit: -1, WaitMs: -1})
	nulls, _ := proto.Marshal(&peerv1.HeartbeatRequest{Claims: []*peerv1.Claim{nil}})
	for i, body := range [][]byte{heartbeat, run, tail, nulls, {0xff, 0xff}, []byte(`{"ticket":1}`), []byte("null"), nil} {
		f.Add(uint8(i), body, i%2 == 0)
	}
	f.Add(uint8(6), tail, true)
	f.Add(uint8(0), []byte(`{"claims":[null]}`), false)
	f.Fuzz(func(t *testing.T, which uint8, body []byte, binary bool) {
		handler := newHandler(t)
		contentType := "application/json"
		if binary {
			contentType = "application/proto"
		}
		procedure := procedures[int(which)%len(procedures)]
		if waits(procedure, body, binary) {
			t.Skip("the procedure waits as long as it is asked to")
		}
		response := post(handler, procedure, contentType, body)
		if response.Code == http.StatusInternalServerError && strings.Contains(response.Body.String(), "panic") {
			t.Errorf("%s panicked: %s", procedure, response.Body)
		}
		if again := post(handler, peerv1connect.PeerServiceHeartbeatProcedure, "application/json", []byte("{}")); again.Code != http.StatusOK {
			t.Errorf("a heartbeat sent afterwards got %d %s", again.Code, again.Body)
		}
	})
}

// waits reports whether a call is a relayed read that may wait for records.
func waits(procedure string, body []byte, binary bool) bool {
	if procedure != peerv1connect.PeerServiceTailProcedure {
		return false
	}
	var m peerv1.TailRequest
	return !binary || proto.Unmarshal(body, &m) == nil && m.WaitMs > 0
}

// TestTail checks that a relayed read returns the retained records for any limit,
// including negative and very large ones.
func TestTail(t *testing.T) {
	handler := newHandler(t)
	for limit, want := range map[int32]int{-5: 0, 0: 0, 2: 2, 1 << 30: 3} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			defer func() {
				if r := recover(); r != nil {
					t.Errorf("a limit of %d panics: %v", limit, r)
				}
			}()
			body, _ := proto.Marshal(&peerv1.TailRequest{From: 1, Limit: limit})
			response := post(handler, peerv1connect.PeerServiceTailProcedure, "application/proto", body)
			var out peerv1.TailResponse
			if err := proto.Unmarshal(response.Body.Bytes(), &out); err != nil || response.Code != http.StatusOK || len(out.Records) != want {
				t.Errorf("answered %d with %d records, %v; want %d", response.Code, len(out.Records), err, want)
			}
		})
	}
}

// TestNoTermAnswersMoved checks that a daemon without a term refuses the calls that
// only a holder can serve with the code "moved" and the verdict "not run".
func TestNoTermAnswersMoved(t *testing.T) {
	handler := newHandler(t)
	for _, procedure := range []string{peerv1connect.PeerServiceRunProcedure, peerv1connect.PeerServiceSubmitJobProcedure, peerv1connect.PeerServiceCancelProcedure} {
		response := post(handler, procedure, "application/json", []byte(`{"availabilityZone":"a","ticket":"t1.a.1.1.n"}`))
		body := response.Body.String()
		if response.Code != http.StatusOK || !strings.Contains(body, `"moved"`) || !strings.Contains(body, "VERDICT_NOT_RUN") {
			t.Errorf("%s: %d %s", procedure, response.Code, body)
		}
	}
}
