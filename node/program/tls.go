package program

import (
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/transport/mtls"
)

// loadTLSCredentials loads the TLS files of the settings; it returns nil if they name none.
func loadTLSCredentials(cfg Config) (*mtls.Credentials, error) {
	if cfg.Settings.TLS == nil {
		return nil, nil
	}
	s, err := mtls.LoadCredentials(*cfg.Settings.TLS)
	if err != nil {
		return nil, errors.Wrap(err, "load TLS files")
	}
	s.LogTo(cfg.Events, time.Now)
	return s, nil
}
