package rulefile

import (
	"context"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fsnotify/fsnotify"
)

// Config says what a Watcher watches and whom it asks.
type Config struct {
	Path string // the operators' rule file; its folder must exist
	// Submit returns the verdict of the control group and ends with ctx. It is called again with the same
	// arguments after an error.
	Submit func(ctx context.Context, number uint64, text string) (Verdict, error)
	// OnCommand is called after every command that was carried out; nil if nobody wants to know.
	OnCommand     func(cmd Cmd, err error)
	Delays        Delays
	PollInterval  time.Duration // reading without notification; zero means DefaultPoll
	SubmitTimeout time.Duration // limit of one Submit; zero means DefaultTimeout
}

// Defaults of a Config. Polling finds edits on file systems that send no notifications.
const (
	DefaultPollInterval  = 2 * time.Second
	DefaultSubmitTimeout = 5 * time.Second
)

// Watcher follows one rule file.
type Watcher struct {
	cfg     Config
	file    File
	model   *Model
	wake    *time.Timer
	answers chan SubmitResult
	cancel  context.CancelFunc // of the submission that runs
	unsaid  *WriteAnswer       // could not be written
	wg      sync.WaitGroup

	mu     sync.Mutex
	queue  []AcceptedRules
	signal chan struct{}
}

// NewWatcher returns a Watcher; Run starts it.
func NewWatcher(cfg Config) *Watcher {
	if cfg.PollInterval == 0 {
		cfg.PollInterval = DefaultPollInterval
	}
	if cfg.SubmitTimeout == 0 {
		cfg.SubmitTimeout = DefaultSubmitTimeout
	}
	if cfg.OnCommand == nil {
		cfg.OnCommand = func(Cmd, error) {}
	}
	return &Watcher{
		cfg:     cfg,
		file:    File{Path: cfg.Path},
		model:   NewModel(cfg.Delays),
		answers: make(chan SubmitResult),
		cancel:  func() {},
		signal:  make(chan struct{}, 1),
	}
}

// NotifyAccepted tells the Watcher about accepted rules, in the order of their numbers; it never blocks.
func (w *Watcher) NotifyAccepted(rules AcceptedRules) {
	w.mu.Lock()
	w.queue = append(w.queue, rules)
	w.mu.Unlock()
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

// Run follows the file until ctx ends. Without notifications from the file system it relies on polling alone.
func (w *Watcher) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer w.wg.Wait()
	defer stop()
	events, closeEvents := w.watch()
	defer closeEvents()
	poll := time.NewTicker(w.cfg.PollInterval)
	defer poll.Stop()
	w.wake = time.NewTimer(0)
	defer w.wake.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e, ok := <-events:
			if !ok {
				events = nil
			} else if filepath.Base(e.Name) == filepath.Base(w.cfg.Path) {
				w.update(ctx, w.file.Read())
			}
		case <-poll.C:
			w.update(ctx, w.file.Read())
			w.sayAgain()
		case <-w.wake.C:
			w.update(ctx, w.file.Read())
		case msg := <-w.answers:
			w.update(ctx, msg)
		case <-w.signal:
			w.drain(ctx)
		}
	}
}

// watch follows the folder, because editors replace the file itself.
func (w *Watcher) watch() (<-chan fsnotify.Event, func()) {
	notify, err := fsnotify.NewWatcher()
	if err != nil {
		w.cfg.OnCommand(ScheduleRead{}, errors.Wrap(err, "watch rules; polling only"))
		return nil, func() {}
	}
	if err := notify.Add(filepath.Dir(w.cfg.Path)); err != nil {
		w.cfg.OnCommand(ScheduleRead{}, errors.Wrap(err, "watch rules; polling only"))
	}
	w.wg.Go(func() {
		for range notify.Errors { // lost notifications are made up for by polling
		}
	})
	return notify.Events, func() { _ = notify.Close() }
}

func (w *Watcher) drain(ctx context.Context) {
	w.mu.Lock()
	queue := w.queue
	w.queue = nil
	w.mu.Unlock()
	for _, rules := range queue {
		w.update(ctx, rules)
	}
}

func (w *Watcher) update(ctx context.Context, msg Msg) {
	now := time.Now()
	for _, cmd := range w.model.Update(now, msg) {
		w.carry(ctx, now, cmd)
	}
}

func (w *Watcher) carry(ctx context.Context, now time.Time, cmd Cmd) {
	var err error
	switch cmd := cmd.(type) {
	case ScheduleRead:
		w.wake.Reset(cmd.At.Sub(now))
		return
	case Submit:
		w.submit(ctx, cmd)
	case WriteAnswer:
		err = w.say(cmd)
	case Rewrite:
		err = w.file.Rewrite(cmd.Expect, cmd.Text)
	}
	w.cfg.OnCommand(cmd, err)
}

func (w *Watcher) say(answer WriteAnswer) error {
	w.unsaid = nil
	err := w.file.WriteAnswer(answer.Text)
	if err != nil {
		w.unsaid = &answer
	}
	return err
}

// sayAgain writes the newest answer if that failed before, for example on a full disk.
func (w *Watcher) sayAgain() {
	if w.unsaid == nil {
		return
	}
	answer := *w.unsaid
	w.cfg.OnCommand(answer, w.say(answer))
}

// submit runs in the background; a newer submission ends it, because its answer no longer matters.
func (w *Watcher) submit(ctx context.Context, cmd Submit) {
	w.cancel()
	one, cancel := context.WithTimeout(ctx, w.cfg.SubmitTimeout)
	w.cancel = cancel
	w.wg.Go(func() {
		defer cancel()
		verdict, err := w.cfg.Submit(one, cmd.Number, cmd.Text)
		select {
		case w.answers <- SubmitResult{ID: cmd.ID, Verdict: verdict, Err: err}:
		case <-ctx.Done():
		}
	})
}
