package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellstile/bluebellstile/internal/loglist"
)

// maxAppendBytes limits the body of an append. It leaves room for base64, which
// makes the data 4/3 as large.
const maxAppendBytes = 2 * loglist.MaxRecordBytes

// Handler returns the handler of the log's HTTP interface.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+loglist.PathRecords, l.handleAppend)
	mux.HandleFunc("GET "+loglist.PathRecords, l.handleRead)
	return l.link.wrap(mux)
}

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request) {
	if l.refuseAppends.Load() {
		http.Error(w, "appends are refused", http.StatusServiceUnavailable)
		return
	}
	var req loglist.AppendRequest
	if status, err := readJSON(w, r, maxAppendBytes, &req); err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	if req.ID == "" {
		http.Error(w, "record id is empty", http.StatusBadRequest)
		return
	}
	if len(req.Data) > loglist.MaxRecordBytes {
		http.Error(w, "record is too large", http.StatusRequestEntityTooLarge)
		return
	}
	if l.limiter != nil && !l.limiter.Allow() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "append rate is over its cap", http.StatusTooManyRequests)
		return
	}
	writeJSON(w, http.StatusOK, loglist.AppendResponse{Offset: l.Append(req.ID, req.Data)})
}

func (l *Log) handleRead(w http.ResponseWriter, r *http.Request) {
	if l.refuseReads.Load() {
		http.Error(w, "reads are refused", http.StatusServiceUnavailable)
		return
	}
	from, err1 := queryInt(r, "from")
	limit, err2 := queryInt(r, "limit")
	waitMS, err3 := queryInt(r, "wait_ms")
	for _, err := range []error{err1, err2, err3} {
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	wait := time.Duration(min(waitMS, maxReadWait.Milliseconds())) * time.Millisecond
	page := l.Read(r.Context(), uint64(from), int(min(limit, maxPageRecords)), wait)
	status := http.StatusOK
	if from > 0 && page.First > uint64(from) {
		status = loglist.StatusTrimmed
	}
	writeJSON(w, status, page)
}

// queryInt parses a query parameter as an integer of 0 or more. A missing
// parameter is 0.
func queryInt(r *http.Request, name string) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, errors.Errorf("%s=%q is not a whole number of 0 or more", name, text)
	}
	return n, nil
}

// readJSON decodes a request body of at most limit bytes. On an error it also
// returns the HTTP status to respond with.
func readJSON(w http.ResponseWriter, r *http.Request, limit int64, out any) (int, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return http.StatusRequestEntityTooLarge, err
		}
		return http.StatusBadRequest, err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return http.StatusBadRequest, err
	}
	return http.StatusOK, nil
}
