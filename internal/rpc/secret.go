package rpc

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"time"

	"github.com/cockroachdb/errors"
)

// MinSecretBytes is the minimum length of the shared secret.
const MinSecretBytes = 16

// ErrPeerSecret means that the peer does not hold the shared secret.
var ErrPeerSecret = errors.New("rpc: peer does not hold the shared secret")

// certificateValidity is so long that the self-signed certificate does not expire in
// practice: peers are authenticated by the shared secret, not by the certificate.
const certificateValidity = 100 * 365 * 24 * time.Hour

// TLSConfig returns the configuration for mutual TLS between processes that share a
// secret. Both ends derive the same ed25519 key from the secret with HKDF (RFC 5869),
// and each accepts only a peer that proves possession of that key.
func TLSConfig(secret []byte) (*tls.Config, error) {
	if len(secret) < MinSecretBytes {
		return nil, errors.Newf("rpc: the shared secret has %d bytes, at least %d are needed", len(secret), MinSecretBytes)
	}
	seed, err := hkdf.Key(sha256.New, secret, nil, "magnoliawheel peer key v1", ed25519.SeedSize)
	if err != nil {
		return nil, errors.Wrap(err, "derive peer key")
	}
	key := ed25519.NewKeyFromSeed(seed)
	public := key.Public().(ed25519.PublicKey)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Unix(0, 0).Add(certificateValidity),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, key)
	if err != nil {
		return nil, errors.Wrap(err, "create certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		MinVersion:   tls.VersionTLS13,
		ClientAuth:   tls.RequireAnyClientCert,
		// The certificate chain is not verified; verifyPeer compares the public key instead.
		InsecureSkipVerify: true,
		VerifyConnection:   verifyPeer(public),
		// A resumed session would skip the proof of possession of the key.
		SessionTicketsDisabled: true,
	}, nil
}

// verifyPeer returns a check that the peer's certificate has the public key wantKey. The
// TLS handshake has proved that the peer holds the private key.
func verifyPeer(wantKey ed25519.PublicKey) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return ErrPeerSecret
		}
		gotKey, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
		if !ok || !gotKey.Equal(wantKey) {
			return ErrPeerSecret
		}
		return nil
	}
}
