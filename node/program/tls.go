package program

import (
	"time"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/transport/mtls"
)

// newSource returns nil if the settings name no TLS files.
func newSource(cfg Config) (*mtls.Source, error) {
	if cfg.Settings.TLS == nil {
		return nil, nil
	}
	s, err := mtls.New(*cfg.Settings.TLS)
	if err != nil {
		return nil, errors.Wrap(err, "tls")
	}
	s.Log(cfg.Events, time.Now)
	return s, nil
}
