package shutdown

import "time"

// Plan holds the times of the steps of a shutdown, counted from SIGTERM. None is later than the next one.
type Plan struct {
	LeaveBackend   time.Duration // the back end gets no new attempts
	CloseListeners time.Duration // no further request is taken
	EndCalls       time.Duration // calls in flight get their final answers; 0 for no limit
	End            time.Duration // open connections are closed and the process ends; 0: with the last request
}

// Config holds the settings that a Plan follows from.
type Config struct {
	BackendLeaveDelay  time.Duration // wanted for Plan.LeaveBackend
	ListenerCloseDelay time.Duration // wanted for Plan.CloseListeners
	Timeout            time.Duration // from BackendLeaveDelay to Plan.End; 0 for no limit
	KillDelay          time.Duration // from SIGTERM until the process is killed; 0: not known
	AnswerTime         time.Duration // between Plan.EndCalls and Plan.End, for the final answers
}

// killDelayParts is the number of parts into which KillDelay is divided. All but the last one may be used; that is left for the
// end of the process.
const killDelayParts = 10

// New returns the Plan for cfg. If the time is too short, the earlier steps come sooner.
func New(cfg Config) Plan {
	p := Plan{LeaveBackend: cfg.BackendLeaveDelay, CloseListeners: cfg.ListenerCloseDelay}
	if cfg.Timeout > 0 {
		p.End = cfg.BackendLeaveDelay + cfg.Timeout
	}
	if beforeKill := cfg.KillDelay / killDelayParts * (killDelayParts - 1); beforeKill > 0 && (p.End == 0 || beforeKill < p.End) {
		p.End = beforeKill
	}
	if p.End > 0 {
		p.EndCalls = max(p.End-cfg.AnswerTime, p.End/2)
		p.CloseListeners = min(p.CloseListeners, p.EndCalls)
	}
	p.LeaveBackend = min(p.LeaveBackend, p.CloseListeners)
	return p
}
