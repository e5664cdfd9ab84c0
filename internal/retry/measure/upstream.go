package main

import (
	"slices"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// job is one attempt that an upstream runs.
type job struct {
	// left is the work left, in time at full speed.
	left time.Duration
	done func()
}

// upstream shares its real capacity between its jobs.
type upstream struct {
	timeline *timeline
	id       model.TargetID
	// announced is the number of slots that it claims, real the number that it can run at full speed.
	announced int
	real      int
	// speed is below 1 in a brown-out.
	speed   float64
	jobs    []*job
	updated time.Duration
	version uint64
}

func (u *upstream) start(j *job) {
	u.progress()
	u.jobs = append(u.jobs, j)
	u.schedule()
}

// cancel takes a job off whose caller does not wait any more.
func (u *upstream) cancel(j *job) {
	u.progress()
	if at := slices.Index(u.jobs, j); at >= 0 {
		u.jobs = slices.Delete(u.jobs, at, at+1)
	}
	u.schedule()
}

func (u *upstream) setSpeed(speed float64) {
	u.progress()
	u.speed = speed
	u.schedule()
}

// rate returns the speed of each job.
func (u *upstream) rate() float64 {
	return u.speed * min(1, float64(u.real)/float64(max(len(u.jobs), 1)))
}

// progress does the work since the last change.
func (u *upstream) progress() {
	work := time.Duration(float64(u.timeline.now-u.updated) * u.rate())
	for _, j := range u.jobs {
		j.left -= work
	}
	u.updated = u.timeline.now
}

// schedule sets an event for the job that ends next.
func (u *upstream) schedule() {
	u.version++
	if len(u.jobs) == 0 {
		return
	}
	next := slices.MinFunc(u.jobs, func(a, b *job) int { return int(a.left - b.left) })
	version := u.version
	delay := time.Duration(float64(max(next.left, 0)) / u.rate())
	u.timeline.after(delay+time.Microsecond, func() {
		if version != u.version {
			return
		}
		u.cancel(next)
		next.done()
	})
}
