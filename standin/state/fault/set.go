package fault

// Set is the misbehaviour in force; the zero value is a healthy back end.
type Set struct {
	Straggle float64 `json:"straggle" validate:"gte=0,lte=1000"` // factor on the service time, 0 and 1 mean none
	Fail     float64 `json:"fail" validate:"gte=0,lte=1"`        // share of requests answered 500 at once
	Shed     float64 `json:"shed" validate:"gte=0,lte=1"`        // share of requests refused as not run
	Truncate float64 `json:"truncate" validate:"gte=0,lte=1"`    // share of downloads cut in the middle
	Reset    float64 `json:"reset" validate:"gte=0,lte=1"`       // share of requests that run and lose their response
	Lie      bool    `json:"lie"`                                // reports an idle, healthy server whatever happens
}
