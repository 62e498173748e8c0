package refusalhelp

// entries names reasons by their text and not by the constants of package refusal, so that it may also explain reasons
// of nodes newer than this program.
var entries = []Entry{
	{"none", "The request was not refused.", "Nothing to do."},
	{
		"full", "Every back end that was asked had all slots busy and its queue full. Nothing ran.",
		"Compare \"pollenhill status\" with the slots in the rules: add back ends, bring a zone back, or raise queue= if callers can wait.",
	},
	{
		"late", "The deadline had passed, or would have passed before the request could start. Nothing ran.",
		"If it happens under normal load, look for a slow back end; otherwise the caller's deadline or \"deadline\" in the rules is shorter than the work takes.",
	},
	{
		"cold", "The back end has just started and gets no more requests than its \"cold\" rule allows. Nothing ran.",
		"Wait until it is warm. If cold back ends take longer than expected, look at \"pollenhill timeline --event 1003\".",
	},
	{
		"draining", "The back end finishes its requests and takes no new ones. Nothing ran.",
		"Expected during maintenance. If nobody is working on it, look at the back end itself: it announces this state.",
	},
	{
		"leaving", "The back end or its node is shutting down. Nothing ran.",
		"Expected during a restart. Other back ends take the load within seconds.",
	},
	{
		"zone-out", "The rules take the zone out of service. Nothing ran.",
		"Expected while an \"out zone\" line is in force; remove the line to bring the zone back.",
	},
	{
		"backend-out", "The rules take this back end out of service. Nothing ran.",
		"Expected while an \"out backend\" line is in force; remove the line to bring the back end back.",
	},
	{
		"absent", "No back end of the service is known, or the one addressed is no longer behind its node. Nothing ran.",
		"Look at \"pollenhill status --service NAME\": back ends announce themselves to their local node every second.",
	},
	{
		"incarnation", "The request was meant for an earlier run of the node or back end. Nothing ran.",
		"Expected for about a second after a restart. If it goes on, two processes use the same node name.",
	},
	{
		"cancelled", "The caller gave up, or another attempt answered first, before this one started. Nothing ran.",
		"Nothing to do.",
	},
	{
		"duplicate", "The same attempt arrived twice; the second one was not run.",
		"Nothing to do; the first attempt gives the answer.",
	},
	{
		"deep", "The call chain is deeper than 25 calls. Nothing ran at this level.",
		"Two services probably call each other in a circle; the level in Proxy-Status says how deep.",
	},
	{
		"shed", "The service is overloaded and requests of lower priority are refused first. Nothing ran.",
		"Add back ends or bring a zone back. \"priority\" rules decide what is refused first.",
	},
	{
		"budget", "The share of extra attempts that the \"retry\" rule allows is used up. Nothing ran in the last attempt.",
		"Look for the reason of the first refusals; a higher share makes an overload worse.",
	},
	{
		"no-quorum", "The request has an Idempotency-Key, and the control group cannot record it. This request did not run; an earlier one with the key may have.",
		"Look at \"pollenhill status\": more than half of the voters must be reachable. Requests without a key are not affected.",
	},
	{
		"route", "No service matches the host and path. Nothing ran.",
		"Compare the host and path with the \"service\" lines of \"pollenhill show\".",
	},
	{
		"broken", "The connection to the back end broke. If the outcome is unknown, the request may have run.",
		"Look at the back end's log at that time. Callers may resend with the same Idempotency-Key.",
	},
	{
		"timeout", "The request was sent and no response came before the deadline. It may have run.",
		"Look for a slow back end in \"pollenhill status\" and in the timeline. Callers may resend with the same Idempotency-Key.",
	},
	{"large", "The body is larger than the node accepts. Nothing ran.", "Raise limits.body in the settings of the nodes if such requests are meant."},
	{"header", "The header is larger than the node accepts. Nothing ran.", "Raise limits.header in the settings of the nodes if such requests are meant."},
	{"malformed", "The request is not valid HTTP/1.1. Nothing ran.", "The caller has to be corrected."},
	{
		"held", "Another request with the same Idempotency-Key has not ended, or its outcome is unknown. This one did not run.",
		"Callers may resend later. If the first outcome is unknown, check by a lookup whether the reservation exists.",
	},
	{"mismatch", "The Idempotency-Key belongs to a different request. Nothing ran.", "The caller has to use a new key for every new reservation."},
	{"upgrade", "The request asks for another protocol, which nodes do not pass on. Nothing ran.", "The caller has to use plain HTTP/1.1."},
	{"internal", "The node itself failed.", "Look at the log of the node named in Proxy-Status and report the fault."},
	{"slow", "The back end was in a slow moment and the entry node knew a faster one. Nothing ran.", "Usually nothing: the request went elsewhere at once. If callers see it, look at the speed of all back ends of the service (pace in the log)."},
	{
		"limit", "The back end already gets as many requests per second as it takes by its own word. Nothing ran.",
		"Callers come back when Retry-After says. If it lasts, find out why the back end is in need (event 1015, backend_limit) or add back ends.",
	},
	{
		"key", "The request has no key of a client account, or one that no account holds. Nothing ran.",
		"Compare the accounts of \"pollenhill show\" with the caller's: its key may have been withdrawn. The caller has to use another key.",
	},
	{
		"allowance", "The client account has sent as many requests as its allowance over all nodes permits. Nothing ran.",
		"Callers come back when Retry-After says. If the account needs more, raise quota or burst in its \"account\" rule.",
	},
}
