package server

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/bluebellstile/bluebellstile/internal/loglist"
	"github.com/bluebellstile/bluebellstile/internal/settings"
	"github.com/bluebellstile/bluebellstile/internal/standin"
)

// testCA is a certificate authority that signs a test's certificates.
type testCA struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// newTestCA creates a certificate authority in a temporary directory.
func newTestCA(t *testing.T) *testCA {
	t.Helper()
	a := &testCA{t: t, dir: t.TempDir()}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}
	a.key = a.newKey()
	a.cert = a.write("ca.pem", template, template, &a.key.PublicKey)
	return a
}

func (a *testCA) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	return key
}

// write signs a certificate and writes it to a PEM file.
func (a *testCA) write(name string, template, parent *x509.Certificate, public any) *x509.Certificate {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.save(name, "CERTIFICATE", der)
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return cert
}

func (a *testCA) save(name, kind string, der []byte) {
	if err := os.WriteFile(filepath.Join(a.dir, name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// issue writes a daemon's key and its certificate with the given serial number.
func (a *testCA) issue(serial int64) settings.TLS {
	key := a.newKey()
	a.write("daemon.pem", &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, &key.PublicKey)
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.save("daemon.key", "EC PRIVATE KEY", der)
	return settings.TLS{Cert: filepath.Join(a.dir, "daemon.pem"), Key: filepath.Join(a.dir, "daemon.key"), CA: filepath.Join(a.dir, "ca.pem")}
}

// startTLS starts daemons of one zone that use TLS between each other.
func startTLS(t *testing.T, files settings.TLS, ids ...string) []*Server {
	t.Helper()
	log, err := standin.Serve(standin.NewLog(standin.LogOptions{}), "127.0.0.1:0", "")
	if err != nil {
		t.Fatal(err)
	}
	list := standin.NewList(nil, 0)
	listed, err := standin.Serve(list, "127.0.0.1:0", "")
	if err != nil {
		t.Fatal(err)
	}
	var daemons []*Server
	var instances []loglist.Instance
	for _, id := range ids {
		s := settings.Default()
		s.Instance = settings.Instance{ID: id, Zone: "a", Region: "r"}
		s.Listen = settings.Listen{API: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0"}
		s.Platform.LogURL, s.Platform.ListURL, s.TLS = log.URL(), listed.URL(), files
		d, err := New(s, new(slog.LevelVar), slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		daemons = append(daemons, d)
		instances = append(instances, loglist.Instance{ID: id, Role: loglist.RoleEntry, Address: d.peer.address(), Region: "r", AvailabilityZone: "a", State: loglist.StateLive})
	}
	list.Set(instances)
	for _, d := range daemons {
		d.Start()
	}
	t.Cleanup(func() {
		for _, d := range daemons {
			if err := d.Stop(context.Background()); err != nil {
				t.Error(err)
			}
		}
		_, _ = log.Close(), listed.Close()
	})
	return daemons
}

func TestMutualTLSBetweenDaemons(t *testing.T) {
	a := newTestCA(t)
	daemons := startTLS(t, a.issue(2), "d1", "d2")
	deadline := time.Now().Add(20 * time.Second)
	for len(daemons[0].table.Live("a", time.Minute)) == 0 || len(daemons[1].table.Live("a", time.Minute)) == 0 {
		if time.Now().After(deadline) {
			t.Fatal("the daemons receive no heartbeats from each other")
		}
		time.Sleep(10 * time.Millisecond)
	}
	roots := x509.NewCertPool()
	roots.AddCert(a.cert)
	clientWithoutCert := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
	response, err := clientWithoutCert.Get("https://" + daemons[0].peer.address() + "/")
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		t.Errorf("a client without a certificate got %s", response.Status)
	}
}

func TestCertificateIsReloaded(t *testing.T) {
	a := newTestCA(t)
	c := &reloadingCertificate{files: a.issue(2)}
	serial := func() int64 {
		pair, err := c.get()
		if err != nil {
			t.Fatal(err)
		}
		return pair.Leaf.SerialNumber.Int64()
	}
	if got := serial(); got != 2 {
		t.Fatalf("serial %d", got)
	}
	a.issue(3)
	c.checked, c.modified = time.Time{}, time.Time{}
	if got := serial(); got != 3 {
		t.Errorf("serial %d after the file changed", got)
	}
	a.save("daemon.pem", "CERTIFICATE", []byte("garbage"))
	c.checked, c.modified = time.Time{}, time.Time{}
	if got := serial(); got != 3 {
		t.Errorf("serial %d after the file was corrupted", got)
	}
}
