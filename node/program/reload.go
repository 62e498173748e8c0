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

// settingsPollInterval is the time between two reads of the settings file. The node polls because the file may change without
// a signal, and some systems offer no file notifications.
const settingsPollInterval = time.Second

// serverSetter is a control client whose list of control processes can be replaced.
type serverSetter interface{ SetServers(servers []client.Server) }

// watchSettingsFile applies the control processes of a changed settings file until ctx ends. Changes of anything else, such as
// addresses and limits, take effect at the next start.
func (n *Node) watchSettingsFile(ctx context.Context) {
	control, ok := n.controlClient.(serverSetter)
	if !ok || n.settingsPath == "" {
		return
	}
	old, err := os.ReadFile(n.settingsPath)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var raw []byte
		if raw, err = os.ReadFile(n.settingsPath); err != nil || bytes.Equal(raw, old) {
			continue // an error may mean that the file is being replaced; the next read tells
		}
		old = raw
		n.reloadControlProcesses(control)
	}
}

// reloadControlProcesses passes the control processes of the settings file to the control client. If the file is invalid, it
// logs the error and the old ones stay.
func (n *Node) reloadControlProcesses(control serverSetter) {
	cfg, err := LoadSettings(n.settingsPath)
	if err != nil {
		n.events.Emit(event.SettingsReloaded, zap.Error(err))
		return
	}
	list := controlServers(cfg)
	control.SetServers(list)
	names := make([]string, len(list))
	for i, s := range list {
		names[i] = s.Name
	}
	n.events.Emit(event.SettingsReloaded, zap.Strings("control", names))
}
