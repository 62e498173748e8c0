package program

import (
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/transport/mtls"
)

// newSource returns nil if the settings name no TLS files.
func newSource(cfg Config) (*mtls.Credentials, error) {
	if cfg.Settings.TLS == nil {
		return nil, nil
	}
	s, err := mtls.LoadCredentials(*cfg.Settings.TLS)
	if err != nil {
		return nil, errors.Wrap(err, "tls")
	}
	s.LogTo(cfg.Events, time.Now)
	return s, nil
}
