package group

import (
	"context"
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"
	"sync"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/state/replica"
)

// Group is one member of the control group, safe for concurrent use.
type Group struct {
	cfg     Config
	mu      sync.RWMutex
	replica *replica.Replica
	index   uint64
	changed chan struct{}
	file    *os.File
	failed  error
}

// Open reads the log in the data folder and starts the member.
func Open(cfg Config) (*Group, error) {
	if len(cfg.Peers) > 1 || cfg.Join {
		return nil, errors.New("open group: more than one member is not implemented yet")
	}
	if err := os.MkdirAll(cfg.Data, 0o700); err != nil {
		return nil, errors.Wrap(err, "open group")
	}
	path := filepath.Join(cfg.Data, "single.log")
	g := &Group{cfg: cfg, replica: replica.New(cfg.Replica), changed: make(chan struct{})}
	if err := g.replay(path); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open group")
	}
	g.file = file
	return g, nil
}

func (g *Group) replay(path string) error {
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read log")
	}
	for len(raw) >= 8 {
		size := binary.LittleEndian.Uint32(raw)
		if uint64(len(raw)) < 8+uint64(size) {
			return errors.Newf("read log: entry %d is cut off", g.index+1)
		}
		body := raw[8 : 8+size]
		if crc32.ChecksumIEEE(body) != binary.LittleEndian.Uint32(raw[4:]) {
			return errors.Newf("read log: entry %d has a wrong checksum", g.index+1)
		}
		cmd, err := replica.DecodeCommand(body)
		if err != nil {
			return err
		}
		g.index++
		g.replica.Apply(g.index, cmd)
		raw = raw[8+size:]
	}
	return nil
}

// Propose commits a command and returns its result; on a follower it forwards to the leader.
func (g *Group) Propose(ctx context.Context, cmd replica.Command) (replica.Result, error) {
	if err := ctx.Err(); err != nil {
		return replica.Result{}, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failed != nil {
		return replica.Result{}, g.failed
	}
	body := cmd.Encode()
	frame := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	frame = binary.LittleEndian.AppendUint32(frame, crc32.ChecksumIEEE(body))
	_, err := g.file.Write(append(frame, body...))
	if err == nil {
		err = g.file.Sync()
	}
	if err != nil {
		g.failed = errors.Wrap(err, "write log")
		return replica.Result{}, g.failed
	}
	g.index++
	res := g.replica.Apply(g.index, cmd)
	close(g.changed)
	g.changed = make(chan struct{})
	return res, nil
}

// Serve answers a command that another member forwarded; it never forwards again.
func (g *Group) Serve(ctx context.Context, command []byte) ([]byte, error) {
	cmd, err := replica.DecodeCommand(command)
	if err != nil {
		return nil, err
	}
	res, err := g.Propose(ctx, cmd)
	if err != nil {
		return nil, err
	}
	return res.Encode(), nil
}

// Barrier returns once this member has applied every command that was committed before the call.
func (g *Group) Barrier(ctx context.Context) error {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return errors.CombineErrors(ctx.Err(), g.failed)
}

// Receive takes messages that another member passed to Send.
func (g *Group) Receive(_ [][]byte) {}

// View returns the consensus state.
func (g *Group) View() View {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return View{
		ID: g.cfg.Name, Leader: g.cfg.Name, Term: 1, Commit: g.index, Applied: g.index,
		Current: g.failed == nil, Voters: []string{g.cfg.Name},
	}
}

// Read calls f with the replica; f must not change or keep it.
func (g *Group) Read(f func(*replica.Replica)) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	f(g.replica)
}

// Changed returns a channel that is closed when the next command is applied.
func (g *Group) Changed() <-chan struct{} {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.changed
}

// Failed returns the error that stopped the member, or nil; a stopped member serves nothing more.
func (g *Group) Failed() error {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.failed
}

// Close stops the member.
func (g *Group) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failed == nil {
		g.failed = ErrClosed
	}
	return errors.Wrap(g.file.Close(), "close log")
}
