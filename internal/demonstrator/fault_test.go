package demonstrator_test

import (
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/checker"
	"quetzalgrade.example/quetzalgrade/internal/demonstrator"
	"quetzalgrade.example/quetzalgrade/internal/faker"
)

// settle is the time after the load for bills to reach the log.
const settle = 90 * time.Second

// run is one running row of a fault table.
type run struct {
	t *testing.T
	s *demonstrator.Simulation
	d *demonstrator.Driver
}

// underLoad runs a workload, applies faults meanwhile, and checks all promises
// afterwards. It returns the driver for the row's own checks.
func underLoad(t *testing.T, s *demonstrator.Simulation, workload demonstrator.Workload, load time.Duration, faults func(r *run)) *demonstrator.Driver {
	t.Helper()
	d := demonstrator.NewDriver(s, workload)
	d.Start(t.Context(), load)
	if faults != nil {
		faults(&run{t: t, s: s, d: d})
	}
	d.Wait()
	time.Sleep(settle)
	violations, err := checker.Check(d.Facts())
	if err != nil {
		t.Fatalf("Check() got error %v, want nil", err)
	}
	for _, violation := range violations {
		t.Errorf("violation: %s", violation)
	}
	return d
}

// counts returns the number of answered and failed requests.
func counts(d *demonstrator.Driver) (answered, failed int) {
	for _, chat := range d.History.Chats() {
		if chat.Err == nil {
			answered++
		} else {
			failed++
		}
	}
	for _, booking := range d.History.Bookings() {
		if booking.Err == nil {
			answered++
		} else {
			failed++
		}
	}
	return answered, failed
}

func noChatFailed(t *testing.T, d *demonstrator.Driver) {
	t.Helper()
	for _, chat := range d.History.Chats() {
		if chat.Err != nil {
			t.Errorf("chat %q of %s got error %v, want an answer", chat.Prompt, chat.Account, chat.Err)
		}
	}
}

func logErrors(t *testing.T, d *demonstrator.Driver) {
	t.Helper()
	for _, chat := range d.History.Chats() {
		if chat.Err != nil {
			t.Logf("chat %q: %v", chat.Prompt, chat.Err)
		}
	}
	for _, booking := range d.History.Bookings() {
		if booking.Err != nil {
			t.Logf("booking %s: %v", booking.Key, booking.Err)
		}
	}
}

func TestPromisesUnderFaults(t *testing.T) {
	rows := map[string]struct {
		deployment string
		workload   demonstrator.Workload
		load       time.Duration
		adjust     func(*demonstrator.Options)
		faults     func(r *run)
		// whole means that no request may fail, chats that no chat may.
		whole bool
		chats bool
	}{
		"no fault, derwent": {deployment: "derwent", workload: demonstrator.DerwentWorkload, load: 20 * time.Second, whole: true},
		"no fault, mekong":  {deployment: "mekong", workload: demonstrator.MekongWorkload, load: 20 * time.Second, whole: true},
		"a daemon is killed": {
			deployment: "derwent", workload: demonstrator.DerwentWorkload, load: 20 * time.Second,
			faults: func(r *run) {
				time.Sleep(8 * time.Second)
				r.s.Crash("ouse-1")
			},
		},
		"a daemon is killed mid-stream": {
			deployment: "derwent", workload: with(demonstrator.DerwentWorkload, func(w *demonstrator.Workload) { w.ChatRate = 20 }), load: 20 * time.Second,
			faults: func(r *run) {
				time.Sleep(8 * time.Second)
				r.s.Crash("ouse-1")
			},
		},
		"all daemons of a zone are killed and started again": {
			deployment: "mekong", workload: demonstrator.MekongWorkload, load: 40 * time.Second,
			adjust: func(o *demonstrator.Options) { o.PerZone = 2 },
			faults: func(r *run) {
				time.Sleep(8 * time.Second)
				r.s.Crash("can-tho-1")
				r.s.Crash("can-tho-2")
				time.Sleep(5 * time.Second)
				r.start("can-tho-1", "can-tho")
				r.start("can-tho-2", "can-tho")
			},
		},
		"the log is down, then a daemon is killed and another starts": {
			deployment: "mekong", workload: demonstrator.MekongWorkload, load: 60 * time.Second,
			faults: func(r *run) {
				time.Sleep(8 * time.Second)
				r.s.Platform.Log.SetFaults(faker.LogFaults{Down: true})
				time.Sleep(8 * time.Second)
				r.s.Crash("can-tho-1")
				r.start("can-tho-2", "can-tho")
				time.Sleep(20 * time.Second)
				r.s.Platform.Log.SetFaults(faker.LogFaults{})
			},
		},
		"a zone is cut off and a daemon of another is killed": {
			deployment: "derwent", workload: demonstrator.DerwentWorkload, load: 60 * time.Second,
			faults: func(r *run) {
				time.Sleep(5 * time.Second)
				r.s.Isolate("ouse", "hamilton", "new-norfolk", "bothwell", demonstrator.PlatformZone)
				time.Sleep(10 * time.Second)
				r.s.Crash("hamilton-1")
				time.Sleep(15 * time.Second)
				r.s.Rejoin("ouse", "hamilton", "new-norfolk", "bothwell", demonstrator.PlatformZone)
			},
		},
		"a daemon and the holder of its bills are killed after the log has them": {
			deployment: "derwent", workload: demonstrator.DerwentWorkload, load: 20 * time.Second,
			faults: func(r *run) {
				time.Sleep(8 * time.Second)
				r.s.Crash("ouse-1")
				time.Sleep(15 * time.Second)
				r.s.Crash("hamilton-1")
			},
		},
		"a planned stop": {
			deployment: "mekong", workload: demonstrator.MekongWorkload, load: 30 * time.Second, whole: true,
			faults: func(r *run) {
				time.Sleep(8 * time.Second)
				r.stop("can-tho-1")
			},
		},
		"a planned stop while answers are long": {
			deployment: "mekong", workload: with(demonstrator.MekongWorkload, func(w *demonstrator.Workload) { w.Turns = 1 }), load: 30 * time.Second, whole: true,
			adjust: func(o *demonstrator.Options) { o.Speed = faker.EngineSpeed{Token: 150 * time.Millisecond} },
			faults: func(r *run) {
				time.Sleep(12 * time.Second)
				r.stop("can-tho-1")
			},
		},
		"all daemons are replaced one by one": {
			deployment: "mekong", workload: demonstrator.MekongWorkload, load: 60 * time.Second, whole: true,
			faults: func(r *run) {
				for _, daemon := range r.s.Daemons() {
					time.Sleep(2 * time.Second)
					r.start(daemon.Zone+"-2", daemon.Zone)
					r.d.Avoid(daemon.Zone+"-2", true)
					time.Sleep(5 * time.Second)
					r.d.Avoid(daemon.Zone+"-2", false)
					r.stop(daemon.Name)
				}
			},
		},
		"the log is down for a second": {
			deployment: "derwent", chats: true, workload: demonstrator.DerwentWorkload, load: 20 * time.Second,
			faults: func(r *run) { r.logDown(5*time.Second, time.Second) },
		},
		"the log is down for ten minutes": {
			deployment: "derwent", chats: true, workload: demonstrator.DerwentWorkload, load: 11 * time.Minute,
			faults: func(r *run) { r.logDown(5*time.Second, 10*time.Minute) },
		},
		"the log is slow": {
			deployment: "mekong", chats: true, workload: demonstrator.MekongWorkload, load: 30 * time.Second,
			faults: func(r *run) {
				time.Sleep(5 * time.Second)
				r.s.Platform.Log.SetFaults(faker.LogFaults{Delay: 1500 * time.Millisecond})
				time.Sleep(20 * time.Second)
				r.s.Platform.Log.SetFaults(faker.LogFaults{})
			},
		},
		"answers of appends are lost": {
			deployment: "mekong", chats: true, workload: demonstrator.MekongWorkload, load: 30 * time.Second,
			faults: func(r *run) {
				for range 10 {
					time.Sleep(2 * time.Second)
					r.s.Platform.Log.SetFaults(faker.LogFaults{LoseAnswers: 3})
				}
			},
		},
		"a zone is cut off from all": {
			deployment: "derwent", workload: demonstrator.DerwentWorkload, load: 60 * time.Second,
			faults: func(r *run) {
				time.Sleep(5 * time.Second)
				r.s.Isolate("ouse", "hamilton", "new-norfolk", "bothwell", demonstrator.PlatformZone)
				time.Sleep(30 * time.Second)
				r.s.Rejoin("ouse", "hamilton", "new-norfolk", "bothwell", demonstrator.PlatformZone)
			},
		},
		"a zone is cut off from the platform one way": {
			deployment: "mekong", chats: true, workload: demonstrator.MekongWorkload, load: 60 * time.Second,
			faults: func(r *run) {
				time.Sleep(5 * time.Second)
				r.s.Fabric.Partition(demonstrator.PlatformZone, "can-tho")
				time.Sleep(30 * time.Second)
				r.s.Fabric.Heal(demonstrator.PlatformZone, "can-tho")
			},
		},
		"a daemon is frozen and wakes": {
			deployment: "mekong", workload: demonstrator.MekongWorkload, load: 60 * time.Second,
			faults: func(r *run) {
				time.Sleep(5 * time.Second)
				addr := r.s.Daemon("can-tho-1").Addr
				r.s.Fabric.Pause(addr)
				time.Sleep(25 * time.Second)
				r.s.Fabric.Resume(addr)
			},
		},
		"an endpoint leaves while the list lags": {
			deployment: "derwent", workload: demonstrator.DerwentWorkload, load: 30 * time.Second, whole: true,
			adjust: func(o *demonstrator.Options) { o.Lag = 30 * time.Second },
			faults: func(r *run) {
				time.Sleep(5 * time.Second)
				for address, engine := range r.s.Engines {
					if address < "10.1.0.4" {
						engine.SetFaults(faker.EngineFaults{Leaving: true})
						r.d.History.Leave(address, time.Now())
					}
				}
			},
		},
		"streams are cut and resumed": {
			deployment: "mekong", workload: demonstrator.MekongWorkload, load: 20 * time.Second, whole: true,
			faults: func(r *run) { r.engines(faker.EngineFaults{CutAfter: 5, CutFor: 1}) },
		},
		"streams are cut and cannot be resumed": {
			deployment: "mekong", workload: demonstrator.MekongWorkload, load: 20 * time.Second,
			faults: func(r *run) { r.engines(faker.EngineFaults{CutAfter: 5, NoResume: true}) },
		},
		"streams end early without their mark": {
			deployment: "mekong", workload: demonstrator.MekongWorkload, load: 20 * time.Second,
			faults: func(r *run) { r.engines(faker.EngineFaults{ShortAfter: 6, NoMark: true}) },
		},
		"every engine fails": {
			deployment: "derwent", workload: demonstrator.DerwentWorkload, load: 20 * time.Second,
			faults: func(r *run) { r.engines(faker.EngineFaults{FailFast: true}) },
		},
		"bookings run and their answers are lost": {
			deployment: "derwent", chats: true, workload: demonstrator.DerwentWorkload, load: 20 * time.Second,
			faults: func(r *run) { r.services(faker.ServiceFaults{DropAnswers: true}) },
		},
		"the service fails after it ran": {
			deployment: "mekong", chats: true, workload: demonstrator.MekongWorkload, load: 20 * time.Second,
			faults: func(r *run) { r.services(faker.ServiceFaults{Fail: true}) },
		},
		"the service refuses before it runs": {
			deployment: "mekong", chats: true, workload: demonstrator.MekongWorkload, load: 20 * time.Second,
			faults: func(r *run) { r.services(faker.ServiceFaults{Refuse: true}) },
		},
		"the service is slow past the deadline": {
			deployment: "derwent", workload: with(demonstrator.DerwentWorkload, func(w *demonstrator.Workload) { w.Deadline = 2 * time.Second }), load: 20 * time.Second,
			faults: func(r *run) { r.services(faker.ServiceFaults{Delay: 4 * time.Second}) },
		},
		"a booking goes to two daemons at once": {
			deployment: "mekong", chats: true, workload: with(demonstrator.MekongWorkload, func(w *demonstrator.Workload) { w.Twice = true }), load: 20 * time.Second, whole: true,
		},
		"daemons die holding claims": {
			deployment: "derwent", workload: with(demonstrator.DerwentWorkload, func(w *demonstrator.Workload) { w.BookingRate = 8; w.Twice = true }), load: 20 * time.Second,
			faults: func(r *run) {
				r.services(faker.ServiceFaults{Delay: 500 * time.Millisecond})
				time.Sleep(6 * time.Second)
				r.s.Crash("ouse-1")
				time.Sleep(3 * time.Second)
				r.s.Crash("bothwell-1")
			},
		},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			simulate(t, row.deployment, row.adjust, func(t *testing.T, s *demonstrator.Simulation) {
				d := underLoad(t, s, row.workload, row.load, row.faults)
				answered, failed := counts(d)
				if answered == 0 && row.whole {
					t.Errorf("answered got 0, want some")
				}
				if row.chats {
					noChatFailed(t, d)
				}
				if row.whole && failed > 0 {
					t.Errorf("failed got %d, want 0", failed)
					logErrors(t, d)
				}
				t.Logf("answered %d, failed %d", answered, failed)
			})
		})
	}
}

func with(workload demonstrator.Workload, change func(*demonstrator.Workload)) demonstrator.Workload {
	change(&workload)
	return workload
}

// stop takes a daemon out of the balancer when it is not ready, as balancers
// do within a second or two, and stops it.
func (r *run) stop(name string) {
	daemon := r.s.Daemon(name)
	done := make(chan error, 1)
	go func() { done <- r.s.StopDaemon(daemon.Name) }()
	time.Sleep(time.Second)
	r.d.Avoid(name, true)
	if err := <-done; err != nil {
		r.t.Errorf("StopDaemon(%s) got error %v, want nil", name, err)
	}
}

func (r *run) start(name, zone string) {
	if _, err := r.s.StartDaemon(name, zone); err != nil {
		r.t.Errorf("StartDaemon(%s) got error %v, want nil", name, err)
	}
}

func (r *run) logDown(after, length time.Duration) {
	time.Sleep(after)
	r.s.Platform.Log.SetFaults(faker.LogFaults{Down: true})
	time.Sleep(length)
	r.s.Platform.Log.SetFaults(faker.LogFaults{})
}

func (r *run) engines(faults faker.EngineFaults) { r.s.SetEngines(faults) }

func (r *run) services(faults faker.ServiceFaults) { r.s.SetServices(faults) }
