package metrics

import (
	"bufio"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// prefix is put before the names of metrics in the text format.
const prefix = "bluebellstile_"

// WriteText writes all metrics in the Prometheus text format.
func WriteText(w io.Writer) error {
	out := bufio.NewWriter(w)
	for _, d := range Descriptions() {
		name := prefix + d.Name
		v := expvar.Get(d.Name)
		if v == nil {
			// The metric of the endpoint connections is published later than the
			// others, see PublishPool.
			continue
		}
		_, _ = fmt.Fprintf(out, "# HELP %s %s\n", name, d.Help)
		switch v := v.(type) {
		case *expvar.Int:
			_, _ = fmt.Fprintf(out, "%s %d\n", name, v.Value())
		case *expvar.Map:
			v.Do(func(kv expvar.KeyValue) {
				if n, ok := kv.Value.(*expvar.Int); ok {
					_, _ = fmt.Fprintf(out, "%s{label=%s} %d\n", name, strconv.Quote(kv.Key), n.Value())
				}
			})
		case *Histogram:
			s := v.Summary()
			_, _ = fmt.Fprintf(out, "%s{quantile=\"0.5\"} %d\n%s{quantile=\"0.9\"} %d\n%s{quantile=\"0.99\"} %d\n%s_max %d\n%s_count %d\n",
				name, s.P50, name, s.P90, name, s.P99, name, s.Max, name, s.Count)
		}
	}
	return errors.Wrap(out.Flush(), "write the metrics")
}

// Handler returns a handler that serves the metrics in the text format.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		// Nothing can be reported to a client that has disconnected.
		_ = WriteText(w)
	})
}
