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

// MinSecretBytes is the least length of the shared secret.
const MinSecretBytes = 16

// ErrPeerKey means that the other end does not hold the shared secret.
var ErrPeerKey = errors.New("rpc: peer does not hold the shared secret")

// certificateLife bounds the self-signed certificate; the shared secret, not the
// certificate, proves who a peer is.
const certificateLife = 100 * 365 * 24 * time.Hour

// TLSConfig returns the configuration for mutual TLS among processes that share
// a secret. Each end holds the ed25519 key derived from the secret by HKDF (RFC
// 5869) and accepts only a peer that proves possession of the same key.
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
		NotAfter:     time.Unix(0, 0).Add(certificateLife),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, key)
	if err != nil {
		return nil, errors.Wrap(err, "create certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		MinVersion:   tls.VersionTLS13,
		ClientAuth:   tls.RequireAnyClientCert,
		// The chain is not checked: verifyPeer compares the public key instead.
		InsecureSkipVerify: true,
		VerifyConnection:   verifyPeer(public),
		// Resumption would skip proof of the key.
		SessionTicketsDisabled: true,
	}, nil
}

func verifyPeer(want ed25519.PublicKey) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return ErrPeerKey
		}
		got, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
		if !ok || !got.Equal(want) {
			return ErrPeerKey
		}
		return nil
	}
}
