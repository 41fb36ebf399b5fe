package intake

import (
	"errors"
	"io"
	"net/http"
)

// Handler returns h for a guarded server, with each request noted as worked on
// once its body has been read to the end. Nothing is known of its customer.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		FromContext(r.Context()).Admitted("")
		if r.ContentLength == 0 {
			FromContext(r.Context()).Work()
			h.ServeHTTP(w, r)
			return
		}
		// The server looks at the body of its own request after the answer.
		watched := new(http.Request)
		*watched = *r
		watched.Body = &watchedBody{ReadCloser: r.Body, conn: FromContext(r.Context())}
		h.ServeHTTP(w, watched)
	})
}

// watchedBody notes the end of a body.
type watchedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.conn.Work()
	}
	return n, err
}
