package bfroute

import (
	"testing"
	"time"
)

// TestConfirmations guards against a table that counts as the newest although a newer one was
// accepted longer ago than a confirmation lasts, and against a confirmed one that doesn't.
func TestConfirmations(t *testing.T) {
	const at = 10 * time.Second
	cases := []struct {
		name  string
		steps func(c *Confirmations)
		now   time.Duration
		want  bool
	}{
		{"no control VM confirms tables", func(c *Confirmations) { c.Use(1) }, at, true},
		{"never confirmed", func(c *Confirmations) { c.Require(); c.Use(1) }, at, false},
		{"confirmed", func(c *Confirmations) { c.Use(1); c.Confirm(1, at) }, at + MaxConfirmationAge, true},
		{"confirmed too long ago", func(c *Confirmations) { c.Use(1); c.Confirm(1, at) }, at + MaxConfirmationAge + 1, false},
		{"a newer one is the newest", func(c *Confirmations) { c.Use(1); c.Confirm(2, at) }, at, false},
		{"older one confirmed before a newer one came", func(c *Confirmations) { c.Use(1); c.Confirm(1, at); c.Confirm(2, at+time.Second) }, at + time.Second, true},
		{"confirmed before it was in use", func(c *Confirmations) { c.Use(1); c.Confirm(2, at); c.Use(2) }, at + time.Second, true},
		{"another was confirmed before it was in use", func(c *Confirmations) { c.Use(1); c.Confirm(3, at); c.Use(2) }, at, false},
		{"confirmed before the first table", func(c *Confirmations) { c.Confirm(4, at); c.Use(4) }, at, true},
		{"an older one was the newest", func(c *Confirmations) { c.Use(3); c.Confirm(2, at) }, at, true},
		{"confirmations out of order", func(c *Confirmations) { c.Use(1); c.Confirm(1, at); c.Confirm(1, at-time.Second) }, at + MaxConfirmationAge, true},
		{"confirmations of a newer one out of order", func(c *Confirmations) { c.Use(1); c.Confirm(2, at); c.Confirm(2, at-time.Second); c.Use(2) }, at + MaxConfirmationAge, true},
		{"first table of a restarted entry is an old one", func(c *Confirmations) { c.Require(); c.Use(1); c.Confirm(5, at) }, at, false},
	}
	for _, c := range cases {
		var confirmations Confirmations
		c.steps(&confirmations)
		if got := confirmations.IsCurrent(c.now); got != c.want {
			t.Errorf("%s: current %v, want %v", c.name, got, c.want)
		}
	}
}
