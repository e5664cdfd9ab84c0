package main

import (
	"slices"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// job is one attempt that an upstream runs.
type job struct {
	// workRemaining is the remaining work, as the time that it takes at full speed.
	workRemaining time.Duration
	done          func()
}

// upstream is a simulated upstream that divides its real capacity equally among its jobs.
type upstream struct {
	timeline *timeline
	id       model.TargetID
	// announced is the number of slots that the upstream announces, real the number of jobs that it runs at full speed.
	announced int
	real      int
	// speed is 1 normally and below 1 during a brown-out.
	speed   float64
	jobs    []*job
	updated time.Duration
	version uint64
}

func (u *upstream) start(j *job) {
	u.advance()
	u.jobs = append(u.jobs, j)
	u.schedule()
}

// cancel removes a job that has ended or whose caller has disconnected.
func (u *upstream) cancel(j *job) {
	u.advance()
	if at := slices.Index(u.jobs, j); at >= 0 {
		u.jobs = slices.Delete(u.jobs, at, at+1)
	}
	u.schedule()
}

func (u *upstream) setSpeed(speed float64) {
	u.advance()
	u.speed = speed
	u.schedule()
}

// rate returns the speed of each job.
func (u *upstream) rate() float64 {
	return u.speed * min(1, float64(u.real)/float64(max(len(u.jobs), 1)))
}

// advance applies the work done since the last change.
func (u *upstream) advance() {
	work := time.Duration(float64(u.timeline.now-u.updated) * u.rate())
	for _, j := range u.jobs {
		j.workRemaining -= work
	}
	u.updated = u.timeline.now
}

// schedule schedules an event for the job that ends next. A change of version cancels the earlier event.
func (u *upstream) schedule() {
	u.version++
	if len(u.jobs) == 0 {
		return
	}
	next := slices.MinFunc(u.jobs, func(a, b *job) int { return int(a.workRemaining - b.workRemaining) })
	version := u.version
	delay := time.Duration(float64(max(next.workRemaining, 0)) / u.rate())
	u.timeline.after(delay+time.Microsecond, func() {
		if version != u.version {
			return
		}
		u.cancel(next)
		next.done()
	})
}
