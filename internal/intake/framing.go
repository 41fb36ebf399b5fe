package intake

import (
	"context"
	"io"
	"os"
	"sync"

	"golang.org/x/time/rate"
)

// framingBurst is how many seconds of the rate a customer may take at once.
const framingBurst = 2

// Framing bounds the rate at which the framing of one customer's chunked bodies is read.
// It answers the load of many bodies in chunks of a few bytes, which take far more of the
// processor than their payload tells.
type Framing struct {
	perSecond int

	mu       sync.Mutex
	limiters map[string]*rate.Limiter
}

// NewFraming returns a bound of so many bytes a second for each customer.
func NewFraming(perSecond int) *Framing {
	return &Framing{perSecond: perSecond, limiters: make(map[string]*rate.Limiter)}
}

// limiter returns the limiter of a customer.
func (f *Framing) limiter(customer string) *rate.Limiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.limiters[customer]
	if l == nil {
		l = rate.NewLimiter(rate.Limit(f.perSecond), framingBurst*f.perSecond)
		f.limiters[customer] = l
	}
	return l
}

// Body returns a chunked body whose framing counts for a customer. Reading it fails with
// os.ErrDeadlineExceeded if the customer's rate lets it go on only after the deadline of
// ctx, or once the connection is given up.
func (f *Framing) Body(ctx context.Context, body io.Reader, c *Conn, customer string) io.Reader {
	if c == nil {
		return body
	}
	return &framedBody{Reader: body, ctx: ctx, conn: c, limiter: f.limiter(customer), received: c.received.Load()}
}

// framedBody is a body that waits for its framing.
type framedBody struct {
	io.Reader
	ctx     context.Context
	conn    *Conn
	limiter *rate.Limiter
	// received is what was read from the connection, and payload what was returned of it.
	received, payload int64
}

// Read implements io.Reader.
func (b *framedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.payload += int64(n)
	received := b.conn.received.Load()
	framing := received - b.received - b.payload
	if framing <= 0 || err != nil {
		return n, err
	}
	b.received, b.payload = received, 0
	ctx, cancel := b.conn.untilGivenUp(b.ctx)
	defer cancel()
	if waited := b.limiter.WaitN(ctx, min(int(framing), b.limiter.Burst())); waited != nil {
		return n, os.ErrDeadlineExceeded
	}
	return n, nil
}
