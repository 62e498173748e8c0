package rulefile

import (
	"context"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fsnotify/fsnotify"
)

// Config configures a Watcher.
type Config struct {
	Path string // the operators' rule file; its folder must exist
	// Submit returns the verdict of the control group and ends with ctx. It is called again with the same
	// arguments after an error.
	Submit func(ctx context.Context, number uint64, text string) (Verdict, error)
	// OnCommand is called with the result of every command except ScheduleRead, and with a ScheduleRead if the file
	// system cannot send notifications; it may be nil.
	OnCommand     func(cmd Cmd, err error)
	Delays        Delays
	PollInterval  time.Duration // between readings without a notification; zero means DefaultPollInterval
	SubmitTimeout time.Duration // of one call of Submit; zero means DefaultSubmitTimeout
}

// Defaults of a Config. Polling finds edits on file systems that send no notifications.
const (
	DefaultPollInterval  = 2 * time.Second
	DefaultSubmitTimeout = 5 * time.Second
)

// Watcher runs a Model for one rule file.
type Watcher struct {
	cfg          Config
	file         File
	model        *Model
	readTimer    *time.Timer
	results      chan SubmitResult
	cancelSubmit context.CancelFunc // ends the running submission
	failedAnswer *WriteAnswer       // newest answer if it could not be written, otherwise nil
	wg           sync.WaitGroup

	mu             sync.Mutex
	accepted       []AcceptedRules // not yet passed to the model; guarded by mu
	acceptedSignal chan struct{}   // receives a value when accepted grows
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
		cfg:            cfg,
		file:           File{Path: cfg.Path},
		model:          NewModel(cfg.Delays),
		results:        make(chan SubmitResult),
		cancelSubmit:   func() {},
		acceptedSignal: make(chan struct{}, 1),
	}
}

// NotifyAccepted passes accepted rules to the Watcher and never blocks; callers pass them in the order of their numbers.
func (w *Watcher) NotifyAccepted(rules AcceptedRules) {
	w.mu.Lock()
	w.accepted = append(w.accepted, rules)
	w.mu.Unlock()
	select {
	case w.acceptedSignal <- struct{}{}:
	default:
	}
}

// Run watches the file until ctx ends, and then returns nil. Without notifications from the file system it only polls.
func (w *Watcher) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer w.wg.Wait()
	defer stop()
	events, closeEvents := w.watchFolder()
	defer closeEvents()
	poll := time.NewTicker(w.cfg.PollInterval)
	defer poll.Stop()
	w.readTimer = time.NewTimer(0)
	defer w.readTimer.Stop()
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
			w.retryAnswer()
		case <-w.readTimer.C:
			w.update(ctx, w.file.Read())
		case msg := <-w.results:
			w.update(ctx, msg)
		case <-w.acceptedSignal:
			w.applyAccepted(ctx)
		}
	}
}

// watchFolder starts notifications about the folder, because editors replace the file itself, and returns a function that
// ends them.
func (w *Watcher) watchFolder() (<-chan fsnotify.Event, func()) {
	notify, err := fsnotify.NewWatcher()
	if err != nil {
		w.cfg.OnCommand(ScheduleRead{}, errors.Wrap(err, "watch rules; polling only"))
		return nil, func() {}
	}
	if err := notify.Add(filepath.Dir(w.cfg.Path)); err != nil {
		w.cfg.OnCommand(ScheduleRead{}, errors.Wrap(err, "watch rules; polling only"))
	}
	w.wg.Go(func() {
		for range notify.Errors { // polling finds the edits of lost notifications
		}
	})
	return notify.Events, func() { _ = notify.Close() }
}

func (w *Watcher) applyAccepted(ctx context.Context) {
	w.mu.Lock()
	accepted := w.accepted
	w.accepted = nil
	w.mu.Unlock()
	for _, rules := range accepted {
		w.update(ctx, rules)
	}
}

// update passes a message to the model and executes the resulting commands.
func (w *Watcher) update(ctx context.Context, msg Msg) {
	now := time.Now()
	for _, cmd := range w.model.Update(now, msg) {
		w.execute(ctx, now, cmd)
	}
}

func (w *Watcher) execute(ctx context.Context, now time.Time, cmd Cmd) {
	var err error
	switch cmd := cmd.(type) {
	case ScheduleRead:
		w.readTimer.Reset(cmd.At.Sub(now))
		return
	case Submit:
		w.submit(ctx, cmd)
	case WriteAnswer:
		err = w.writeAnswer(cmd)
	case Rewrite:
		err = w.file.Rewrite(cmd.Expect, cmd.Text)
	}
	w.cfg.OnCommand(cmd, err)
}

func (w *Watcher) writeAnswer(answer WriteAnswer) error {
	w.failedAnswer = nil
	err := w.file.WriteAnswer(answer.Text)
	if err != nil {
		w.failedAnswer = &answer
	}
	return err
}

// retryAnswer writes the newest answer again if it could not be written, for example on a full disk.
func (w *Watcher) retryAnswer() {
	if w.failedAnswer == nil {
		return
	}
	answer := *w.failedAnswer
	w.cfg.OnCommand(answer, w.writeAnswer(answer))
}

// submit submits an edit in the background. It cancels an earlier submission, whose result no longer matters.
func (w *Watcher) submit(ctx context.Context, cmd Submit) {
	w.cancelSubmit()
	submitCtx, cancel := context.WithTimeout(ctx, w.cfg.SubmitTimeout)
	w.cancelSubmit = cancel
	w.wg.Go(func() {
		defer cancel()
		verdict, err := w.cfg.Submit(submitCtx, cmd.Number, cmd.Text)
		select {
		case w.results <- SubmitResult{ID: cmd.ID, Verdict: verdict, Err: err}:
		case <-ctx.Done():
		}
	})
}
