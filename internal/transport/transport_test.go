package transport

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestSentMeasuresWaitForConnection occupies a client's only connection. A
// second call waits for it and must not be reported as sent.
func TestSentMeasuresWaitForConnection(t *testing.T) {
	release := make(chan struct{})
	connected := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(connected)
		<-release
	}))
	defer server.Close()
	client := NewClient(Options{DialTimeout: time.Second, UnackedTimeout: time.Second, MaxPerHost: 1})
	defer client.CloseIdleConnections()
	call := func(s *SendTracker, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		request, err := http.NewRequestWithContext(s.Observe(ctx), http.MethodGet, server.URL, nil)
		if err != nil {
			return err
		}
		response, err := client.Do(request)
		if err == nil {
			err = response.Body.Close()
		}
		return err
	}
	var first, second SendTracker
	done := make(chan error, 1)
	go func() { done <- call(&first, 5*time.Second) }()
	<-connected
	const wait = 50 * time.Millisecond
	if err := call(&second, wait); err == nil {
		t.Error("a call behind a busy connection was answered")
	}
	if second.MayHaveBeenSent() || second.Waited() < wait {
		t.Errorf("a call without a connection: may be sent %v, waited %s", second.MayHaveBeenSent(), second.Waited())
	}
	close(release)
	if err := <-done; err != nil {
		t.Error(err)
	}
	if !first.MayHaveBeenSent() || first.Waited() > time.Second {
		t.Errorf("a call with a connection: may be sent %v, waited %s", first.MayHaveBeenSent(), first.Waited())
	}
}
