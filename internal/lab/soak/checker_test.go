package soak

import (
	"fmt"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// validOutcome is an outcome that violates no rule.
func validOutcome() Outcome {
	now := time.Now()
	return Outcome{ID: "id", Kind: NonIdempotent, Edge: "edge-0", Incarnation: 1,
		SentAt: now, EndedAt: now.Add(time.Millisecond), Status: 200, Body: expectedAnswer(NonIdempotent, "id"), HasStamp: true}
}

var _ = Describe("Checker", func() {
	DescribeTable("reports a violation of each rule", func(rule Rule, violate func(c *Checker)) {
		c := NewChecker()
		c.RequestSent("id", NonIdempotent)
		c.RequestExecuted("id")
		c.RequestEnded(validOutcome())
		c.Finish()
		Expect(c.Violations()).To(BeEmpty(), "no violation yet")
		violate(c)
		c.Finish()
		Expect(c.Violations()).To(HaveKey(rule))
		Expect(c.Violations()).To(HaveLen(1))
	},
		Entry(nil, AtMostOnce, func(c *Checker) { c.RequestExecuted("id") }),
		Entry(nil, AnswerIsOwn, func(c *Checker) {
			o := validOutcome()
			o.Body = expectedAnswer(NonIdempotent, "other")
			c.RequestEnded(o)
		}),
		Entry(nil, AnswerIsOwn, func(c *Checker) { o := validOutcome(); o.HasStamp = false; c.RequestEnded(o) }),
		Entry(nil, RefusedNotExecuted, func(c *Checker) { o := validOutcome(); o.Status = 503; c.RequestEnded(o) }),
		Entry(nil, RefusedNotExecuted, func(c *Checker) {
			c.RequestSent("later", NonIdempotent)
			o := validOutcome()
			o.ID, o.Status = "later", 503
			c.RequestEnded(o)
			c.RequestExecuted("later")
		}),
		Entry(nil, AnswerIsOwn, func(c *Checker) {
			o := validOutcome()
			o.Kind, o.Status, o.ConnectionClosed, o.Body = ResumableFeed, 0, true, feedEvent("id", 2)
			c.RequestEnded(o)
		}),
		Entry(nil, BodyIntact, func(c *Checker) { c.RequestBodyReceived("id", "body of i") }),
		Entry(nil, AlwaysAnswered, func(c *Checker) { o := validOutcome(); o.Status, o.ConnectionClosed = 0, true; c.RequestEnded(o) }),
		Entry(nil, AlwaysAnswered, func(c *Checker) { o := validOutcome(); o.Status, o.TimedOut = 0, true; c.RequestEnded(o) }),
		Entry(nil, ConfigurationMonotonic, func(c *Checker) {
			o := validOutcome()
			o.Route = 7
			c.RequestEnded(o)
			o.Route, o.Status = 9, 200
			c.RequestEnded(o)
			o.Route, o.Status, o.SentAt = 6, 404, o.EndedAt.Add(time.Nanosecond)
			c.RequestEnded(o)
		}),
		Entry(nil, AnswerIsOwn, func(c *Checker) {
			o := validOutcome()
			c.AnswerTruncated(o.ID)
			o.Body = o.Body[:5]
			c.RequestEnded(o)
		}),
		Entry(nil, AnswerIsOwn, func(c *Checker) {
			o := validOutcome()
			c.AnswerTruncated(o.ID)
			o.Status, o.ConnectionClosed, o.Body = 0, true, "another answer"
			c.RequestEnded(o)
		}),
		Entry(nil, AlwaysAnswered, func(c *Checker) {
			o := validOutcome()
			o.Status, o.ConnectionClosed, o.Body = 0, true, o.Body[:5]
			c.RequestEnded(o)
		}),
		Entry(nil, ConfigurationInForce, func(c *Checker) {
			o := validOutcome()
			c.ConfigurationAcknowledged(3, o.SentAt.Add(-time.Minute))
			o.Route, o.Status = 3, 404
			c.RequestEnded(o)
		}),
		Entry(nil, KeyWithheld, func(c *Checker) {
			c.RequestArrived("id", http.Header{headerAuthorization: {keyScheme + c.keys.permanent[0].text}})
		}),
		Entry(nil, TenantOfKey, func(c *Checker) {
			c.HeaderSent("id", c.keys.permanent[0].text, false, nil)
			c.RequestArrived("id", http.Header{headerTenant: {tenantNames[1]}})
		}),
		Entry(nil, TenantOfKey, func(c *Checker) {
			c.HeaderSent("id", c.keys.permanent[0].text, false, nil)
			c.RequestArrived("id", http.Header{})
		}),
		Entry(nil, TenantOfKey, func(c *Checker) {
			c.HeaderSent("id", "", true, nil)
			c.RequestArrived("id", http.Header{headerTenant: {tenantNames[0]}})
		}),
		Entry(nil, HeaderIntact, func(c *Checker) {
			c.HeaderSent("id", "", true, http.Header{headerTokens: {"10,2"}})
			c.RequestArrived("id", http.Header{headerTokens: {"10,3"}})
		}),
		Entry(nil, UnknownKeyRejected, func(c *Checker) { c.HeaderSent("id", keyMarker+"none", false, nil); c.RequestEnded(validOutcome()) }),
		Entry(nil, WithdrawnKeyRejected, func(c *Checker) {
			key := c.keys.issue(tenantNames[0], false)
			key.addedAt, key.withdrawnAt = time.Now().Add(-time.Hour), time.Now().Add(-time.Minute)
			c.HeaderSent("id", key.text, false, nil)
			c.RequestEnded(validOutcome())
		}),
		Entry(nil, ValidKeyServed, func(c *Checker) {
			c.HeaderSent("id", c.keys.permanent[0].text, false, nil)
			o := validOutcome()
			o.Status, o.Disturbed = 401, true
			c.RequestEnded(o)
		}),
		Entry(nil, ValidKeyServed, func(c *Checker) {
			c.HeaderSent("id", "", true, nil)
			o := validOutcome()
			o.Status = 401
			c.RequestEnded(o)
		}),
		Entry(nil, KeyNotShown, func(c *Checker) {
			c.HeaderSent("id", c.keys.permanent[0].text, false, nil)
			o := validOutcome()
			o.Status, o.Body = 404, "no route for "+c.keys.permanent[0].text
			c.RequestEnded(o)
		}),
		Entry(nil, KeyNotShown, func(c *Checker) {
			out := &keyDetector{checker: c, destination: io.Discard}
			line := "a line with " + c.keys.permanent[0].text + "\n"
			_, _ = io.WriteString(out, line[:15]) // to io.Discard
			_, _ = io.WriteString(out, line[15:])
		}),
		Entry(nil, AddedRoutesServed, func(c *Checker) {
			for range minRequestsForRatio {
				o := validOutcome()
				c.RequestEnded(o)
				o.Route, o.Status = 1, 502
				c.RequestEnded(o)
			}
		}),
		Entry(nil, KindsServed, func(c *Checker) {
			for range minRequestsForRatio {
				o := validOutcome()
				c.RequestEnded(o)
				o.Kind, o.Status = Prompt, 503
				c.RequestEnded(o)
			}
		}),
		Entry(nil, TenantLimitHolds, func(c *Checker) {
			for i := range int(maxWindowTokens())/plainRequestTokens + 1 {
				id := fmt.Sprint("limited-", i)
				c.HeaderSent(id, c.keys.limited[exceedingTenant].text, false, nil)
				c.RequestExecuted(id)
				c.RequestExecuted(id) // again: it counts once
			}
		}),
		Entry(nil, BelowLimitServed, func(c *Checker) {
			c.HeaderSent("id", c.keys.limited[moderateTenant].text, false, nil)
			o := validOutcome()
			o.Status = http.StatusTooManyRequests
			c.RequestEnded(o)
		}),
		Entry(nil, TenantsServed, func(c *Checker) {
			c.HeaderSent("id", c.keys.permanent[0].text, false, nil)
			c.HeaderSent("other", c.keys.permanent[1].text, false, nil)
			for range minRequestsForRatio {
				o := validOutcome()
				c.RequestEnded(o)
				o.ID, o.Status = "other", 502
				c.RequestEnded(o)
			}
		}),
		Entry(nil, ServiceRecovered, func(c *Checker) {
			o := validOutcome()
			c.ExpectServiceFrom(o.SentAt.Add(-time.Second))
			o.Status = 502
			c.RequestEnded(o)
		}),
	)

	It("allows a limited tenant what its limit is in each window, also right after one another", func() {
		start := time.Now()
		var executions []limitedExecution
		for _, window := range []time.Duration{0, limitWindow + time.Second} {
			for range int(maxWindowTokens()) / plainRequestTokens {
				executions = append(executions, limitedExecution{start.Add(window), start.Add(window + time.Second), plainRequestTokens})
			}
		}
		// Sent in the first window, and executed after it.
		executions = append(executions, limitedExecution{start, start.Add(limitWindow + time.Millisecond), plainRequestTokens})
		_, tokens := busiestWindow(executions)
		Expect(float64(tokens)).To(BeNumerically("<=", maxWindowTokens()))
	})

	It("excuses an outcome that an intervention explains, and no other", func() {
		c := NewChecker()
		o := validOutcome()
		o.Status, o.ConnectionClosed, o.Disturbed = 0, true, true
		c.RequestEnded(o)
		o = validOutcome()
		o.Status, o.DialFailed = 0, true
		c.RequestEnded(o)
		c.ConfigurationAcknowledged(3, time.Now())
		o = validOutcome()
		o.Route, o.Status = 3, 404
		c.RequestEnded(o)
		overtaken := o
		o.Route, o.Status = 4, 200
		c.RequestEnded(o)
		c.RequestEnded(overtaken)
		Expect(c.Violations()).To(BeEmpty())
	})
})
