package briarferry

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that reads and writes text such as "250ms" in the
// project's own formats.
type Duration time.Duration

// MarshalText writes the duration in the notation of time.Duration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads the notation of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("briarferry: %q is not a duration", text)
	}
	*d = Duration(v)
	return nil
}

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
