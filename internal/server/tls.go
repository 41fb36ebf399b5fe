package server

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/settings"
	"github.com/pkg/errors"
)

// reloadInterval is the least time between two checks of the certificate file for
// changes.
const reloadInterval = 5 * time.Second

// peerTLS returns the configurations for mutual TLS between daemons, or nil if
// TLS is off. The certificate is reloaded when its file changes.
func peerTLS(s settings.TLS) (server, client *tls.Config, err error) {
	if !s.Enabled() {
		return nil, nil, nil
	}
	pem, err := os.ReadFile(s.CA)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read the certificate authority; check [tls] ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, errors.Errorf("%s holds no certificate; check [tls] ca", s.CA)
	}
	cert := &reloadingCertificate{files: s}
	if _, err := cert.get(); err != nil {
		return nil, nil, err
	}
	server = &tls.Config{
		MinVersion:     tls.VersionTLS13,
		ClientAuth:     tls.RequireAndVerifyClientCert,
		ClientCAs:      pool,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return cert.get() },
		NextProtos:     []string{"h2"},
	}
	client = &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return cert.get() },
		NextProtos:           []string{"h2"},
	}
	return server, client, nil
}

// reloadingCertificate is a key pair that is reloaded when its file changes.
type reloadingCertificate struct {
	files settings.TLS

	mu       sync.Mutex
	pair     *tls.Certificate
	modified time.Time
	checked  time.Time
}

// get returns the key pair and reloads it first if the file has changed. If the
// new pair can't be loaded, the last good one stays in use.
func (c *reloadingCertificate) get() (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pair != nil && time.Since(c.checked) < reloadInterval {
		return c.pair, nil
	}
	c.checked = time.Now()
	info, err := os.Stat(c.files.Cert)
	if err == nil && c.pair != nil && info.ModTime().Equal(c.modified) {
		return c.pair, nil
	}
	pair, loadErr := tls.LoadX509KeyPair(c.files.Cert, c.files.Key)
	if loadErr != nil {
		if c.pair != nil {
			return c.pair, nil
		}
		return nil, errors.Wrap(loadErr, "read the certificate; check [tls] cert and key")
	}
	if err == nil {
		c.modified = info.ModTime()
	}
	c.pair = &pair
	return c.pair, nil
}
