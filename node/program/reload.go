package program

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"pollenhill.example/core/state/event"
	client "pollenhill.example/node/transport/control"
)

// reloadEvery is how often the settings file is compared; the file may change without a signal, and some machines
// offer no notifications.
const reloadEvery = time.Second

// seeded is a control client whose control processes can be replaced.
type seeded interface{ SetServers(servers []client.Server) }

// reload takes over the control processes of a changed settings file until ctx ends. Everything else, such as
// addresses and limits, needs a start.
func (p *Node) reload(ctx context.Context) {
	control, ok := p.control.(seeded)
	if !ok || p.path == "" {
		return
	}
	old, err := os.ReadFile(p.path)
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var raw []byte
		if raw, err = os.ReadFile(p.path); err != nil || bytes.Equal(raw, old) {
			continue // a file that is being replaced is read the next time
		}
		old = raw
		p.take(control)
	}
}

func (p *Node) take(control seeded) {
	cfg, err := LoadSettings(p.path)
	if err != nil {
		p.events.Emit(event.SettingsReloaded, zap.Error(err))
		return
	}
	list := servers(cfg)
	control.SetServers(list)
	names := make([]string, len(list))
	for i, s := range list {
		names[i] = s.Name
	}
	p.events.Emit(event.SettingsReloaded, zap.Strings("control", names))
}
