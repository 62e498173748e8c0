package fault

// Set holds the faults to inject; the zero value injects none. The names of the type and the package are part of error
// texts of encoding/json, which reach clients of the admin listener and operators.
type Set struct {
	SlowdownFactor   float64 `json:"straggle" validate:"gte=0,lte=1000"` // factor on the service time; up to 1 has no effect
	ErrorRatio       float64 `json:"fail" validate:"gte=0,lte=1"`        // share of requests answered with status 500; another, equal share skips the service time
	ShedRatio        float64 `json:"shed" validate:"gte=0,lte=1"`        // share of requests refused as not run
	TruncateRatio    float64 `json:"truncate" validate:"gte=0,lte=1"`    // share of downloads that break off in the middle
	ResetRatio       float64 `json:"reset" validate:"gte=0,lte=1"`       // share of requests that run and get no response
	FalseLoadReports bool    `json:"lie"`                                // load reports always say that the back end is idle and not in cold start
}
