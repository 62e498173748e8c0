package fault

// Set is the misbehaviour in force; the zero value is a healthy back end.
type Set struct {
	SlowdownFactor   float64 `json:"straggle" validate:"gte=0,lte=1000"` // factor on the service time, 0 and 1 mean none
	ErrorRatio       float64 `json:"fail" validate:"gte=0,lte=1"`        // share of requests answered 500 at once
	ShedRatio        float64 `json:"shed" validate:"gte=0,lte=1"`        // share of requests refused as not run
	TruncateRatio    float64 `json:"truncate" validate:"gte=0,lte=1"`    // share of downloads cut in the middle
	ResetRatio       float64 `json:"reset" validate:"gte=0,lte=1"`       // share of requests that run and lose their response
	FalseLoadReports bool    `json:"lie"`                                // reports an idle, healthy server whatever happens
}
