package notice

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxPause is the longest pause that is followed. A longer one is most likely a
// mistake, and would otherwise last until the upstream restarts; the request after
// it learns whether the upstream means it.
const MaxPause = time.Hour

// HeaderLeaving is the header by which an upstream of this system's own interface
// says that it is leaving.
const HeaderLeaving = "Balsam-Leaving"

// leavingValue is the only value of the header that says that an upstream leaves.
const leavingValue = "1"

// ParseLeaving reads the values of the header by which an upstream says that it is
// leaving. It returns the first value that says nothing as invalid, "" if there is
// none.
func ParseLeaving(values []string) (leaving bool, invalid string) {
	for _, v := range values {
		if strings.TrimSpace(v) == leavingValue {
			leaving = true
		} else if invalid == "" {
			invalid = loggedValue(v)
		}
	}
	return leaving, invalid
}

// ParsePause reads the Retry-After of an answer that turns a request away (RFC
// 9110, 10.2.3). Of several values the longest counts:
//
//   - seconds, with or without a fraction: that time; 0 asks for no pause;
//   - an HTTP date: the time from the Date of the answer, or from wall, the time of
//     day here, if it has none; one that has passed asks for no pause;
//   - more than MaxPause: MaxPause, and the value is returned as invalid;
//   - anything else, a sign or an exponent included: no pause, and the value is
//     returned as invalid.
//
// invalid is "" if every value is followed.
func ParsePause(header http.Header, wall time.Time) (pause time.Duration, invalid string) {
	for _, value := range header.Values("Retry-After") {
		d, ok := parseRetryAfter(strings.TrimSpace(value), header.Get("Date"), wall)
		if !ok || d > MaxPause {
			invalid = loggedValue(value)
		}
		if ok {
			pause = max(pause, min(d, MaxPause))
		}
	}
	return pause, invalid
}

// minRetryAfter is the least time after the end of a pause at which callers are
// told to come back.
const minRetryAfter = 10 * time.Millisecond

// RetryAfter returns the Retry-After of a call that is refused while all upstreams
// leave or pause; wait is the time to the end of the first pause, random a number
// in [0, 1). Refused callers come back over spread and half the pause: the longer
// it is, the more of them there are, and the upstream takes few requests at first.
func RetryAfter(wait, spread time.Duration, random float64) time.Duration {
	return wait + minRetryAfter + time.Duration(random*float64(spread+wait/2))
}

// parseRetryAfter parses one value. It reports false if the value is neither a
// number of seconds nor an HTTP date.
func parseRetryAfter(value, date string, wall time.Time) (time.Duration, bool) {
	if isDecimal(value) {
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil || seconds > maxSeconds {
			// ParseFloat fails only for numbers that are out of its range.
			return MaxPause + 1, true
		}
		return time.Duration(seconds * float64(time.Second)), true
	}
	until, err := http.ParseTime(value)
	if err != nil {
		return 0, false
	}
	if at, err := http.ParseTime(date); err == nil {
		wall = at
	}
	return max(0, until.Sub(wall)), true
}

// maxSeconds is a number of seconds that a time.Duration holds.
const maxSeconds = 1e9

// isDecimal reports whether value consists of digits, optionally followed by a
// point and more digits.
func isDecimal(value string) bool {
	whole, fraction, hasFraction := strings.Cut(value, ".")
	return isDigits(whole) && (!hasFraction || isDigits(fraction))
}

func isDigits(s string) bool {
	return s != "" && strings.Trim(s, "0123456789") == ""
}

// maxInvalid is the number of bytes of an invalid value that are kept.
const maxInvalid = 64

// loggedValue returns the beginning of an invalid value for a log line.
func loggedValue(value string) string {
	if value == "" {
		return "(empty)"
	}
	return value[:min(len(value), maxInvalid)]
}

// FromAnswer returns what an upstream of this system's own interface says of itself
// in an answer; wall is that of ParsePause.
func FromAnswer(status int, header http.Header, wall time.Time) Notice {
	var said Notice
	said.Leaving, _ = ParseLeaving(header.Values(HeaderLeaving))
	if status == http.StatusServiceUnavailable {
		said.Pause, _ = ParsePause(header, wall)
	}
	return said
}
