package demonstrator_test

import (
	"testing"
	"time"

	"quetzalgrade.example/quetzalgrade/internal/checker"
	"quetzalgrade.example/quetzalgrade/internal/demonstrator"
	"quetzalgrade.example/quetzalgrade/internal/faker"
)

// settleTime is the time after the load in which bills reach the log.
const settleTime = 90 * time.Second

// faultRun is a run of one fault scenario.
type faultRun struct {
	t *testing.T
	s *demonstrator.Simulation
	d *demonstrator.Driver
}

// runUnderLoad runs a workload, applies faults while it runs, and then checks all
// invariants. It returns the driver for further checks.
func runUnderLoad(t *testing.T, s *demonstrator.Simulation, workload demonstrator.Workload, duration time.Duration, faults func(r *faultRun)) *demonstrator.Driver {
	t.Helper()
	d := demonstrator.NewDriver(s, workload)
	d.Start(t.Context(), duration)
	if faults != nil {
		faults(&faultRun{t: t, s: s, d: d})
	}
	d.Wait()
	time.Sleep(settleTime)
	violations, err := checker.Check(d.CheckerInput())
	if err != nil {
		t.Fatalf("Check() got error %v, want nil", err)
	}
	for _, violation := range violations {
		t.Errorf("violation: %s", violation)
	}
	return d
}

// countResults returns the number of requests that succeeded and failed.
func countResults(d *demonstrator.Driver) (succeeded, failed int) {
	for _, chat := range d.History.Chats() {
		if chat.Err == nil {
			succeeded++
		} else {
			failed++
		}
	}
	for _, booking := range d.History.BookingAttempts() {
		if booking.Err == nil {
			succeeded++
		} else {
			failed++
		}
	}
	return succeeded, failed
}

func checkNoChatFailed(t *testing.T, d *demonstrator.Driver) {
	t.Helper()
	for _, chat := range d.History.Chats() {
		if chat.Err != nil {
			t.Errorf("chat %q of %s got error %v, want a response", chat.Prompt, chat.Account, chat.Err)
		}
	}
}

func logRequestErrors(t *testing.T, d *demonstrator.Driver) {
	t.Helper()
	for _, chat := range d.History.Chats() {
		if chat.Err != nil {
			t.Logf("chat %q: %v", chat.Prompt, chat.Err)
		}
	}
	for _, booking := range d.History.BookingAttempts() {
		if booking.Err != nil {
			t.Logf("booking %s: %v", booking.Key, booking.Err)
		}
	}
}

// TestInvariantsUnderFaults guards against broken invariants and, in the rows that
// forbid them, failed requests while daemons, the log, zones or endpoints fail.
func TestInvariantsUnderFaults(t *testing.T) {
	rows := map[string]struct {
		deployment string
		workload   demonstrator.Workload
		duration   time.Duration
		adjust     func(*demonstrator.Options)
		faults     func(r *faultRun)
		// allSucceed means that no request may fail; allChatsSucceed means that
		// no chat may fail.
		allSucceed      bool
		allChatsSucceed bool
	}{
		"no fault, derwent": {deployment: "derwent", workload: demonstrator.DerwentWorkload, duration: 20 * time.Second, allSucceed: true},
		"no fault, mekong":  {deployment: "mekong", workload: demonstrator.MekongWorkload, duration: 20 * time.Second, allSucceed: true},
		"a daemon is killed": {
			deployment: "derwent", workload: demonstrator.DerwentWorkload, duration: 20 * time.Second,
			faults: func(r *faultRun) {
				time.Sleep(8 * time.Second)
				r.s.CrashDaemon("ouse-1")
			},
		},
		"a daemon is killed mid-stream": {
			deployment: "derwent", workload: withChange(demonstrator.DerwentWorkload, func(w *demonstrator.Workload) { w.ChatRate = 20 }), duration: 20 * time.Second,
			faults: func(r *faultRun) {
				time.Sleep(8 * time.Second)
				r.s.CrashDaemon("ouse-1")
			},
		},
		"all daemons of a zone are killed and started again": {
			deployment: "mekong", workload: demonstrator.MekongWorkload, duration: 40 * time.Second,
			adjust: func(o *demonstrator.Options) { o.DaemonsPerZone = 2 },
			faults: func(r *faultRun) {
				time.Sleep(8 * time.Second)
				r.s.CrashDaemon("can-tho-1")
				r.s.CrashDaemon("can-tho-2")
				time.Sleep(5 * time.Second)
				r.startDaemon("can-tho-1", "can-tho")
				r.startDaemon("can-tho-2", "can-tho")
			},
		},
		"the log is down, then a daemon is killed and another starts": {
			deployment: "mekong", workload: demonstrator.MekongWorkload, duration: 60 * time.Second,
			faults: func(r *faultRun) {
				time.Sleep(8 * time.Second)
				r.s.Platform.Log.SetFaults(faker.LogFaults{Unavailable: true})
				time.Sleep(8 * time.Second)
				r.s.CrashDaemon("can-tho-1")
				r.startDaemon("can-tho-2", "can-tho")
				time.Sleep(20 * time.Second)
				r.s.Platform.Log.SetFaults(faker.LogFaults{})
			},
		},
		"a zone is partitioned and a daemon of another is killed": {
			deployment: "derwent", workload: demonstrator.DerwentWorkload, duration: 60 * time.Second,
			faults: func(r *faultRun) {
				time.Sleep(5 * time.Second)
				r.s.PartitionZone("ouse", "hamilton", "new-norfolk", "bothwell", demonstrator.PlatformZone)
				time.Sleep(10 * time.Second)
				r.s.CrashDaemon("hamilton-1")
				time.Sleep(15 * time.Second)
				r.s.HealZone("ouse", "hamilton", "new-norfolk", "bothwell", demonstrator.PlatformZone)
			},
		},
		"a daemon and the holder of its bills are killed after the bills reach the log": {
			deployment: "derwent", workload: demonstrator.DerwentWorkload, duration: 20 * time.Second,
			faults: func(r *faultRun) {
				time.Sleep(8 * time.Second)
				r.s.CrashDaemon("ouse-1")
				time.Sleep(15 * time.Second)
				r.s.CrashDaemon("hamilton-1")
			},
		},
		"a planned stop": {
			deployment: "mekong", workload: demonstrator.MekongWorkload, duration: 30 * time.Second, allSucceed: true,
			faults: func(r *faultRun) {
				time.Sleep(8 * time.Second)
				r.stopDaemon("can-tho-1")
			},
		},
		"a planned stop while responses are long": {
			deployment: "mekong", workload: withChange(demonstrator.MekongWorkload, func(w *demonstrator.Workload) { w.Turns = 1 }), duration: 30 * time.Second, allSucceed: true,
			adjust: func(o *demonstrator.Options) { o.EngineSpeed = faker.EngineSpeed{DecodePace: 150 * time.Millisecond} },
			faults: func(r *faultRun) {
				time.Sleep(12 * time.Second)
				r.stopDaemon("can-tho-1")
			},
		},
		"all daemons are replaced one by one": {
			deployment: "mekong", workload: demonstrator.MekongWorkload, duration: 60 * time.Second, allSucceed: true,
			faults: func(r *faultRun) {
				for _, daemon := range r.s.Daemons() {
					time.Sleep(2 * time.Second)
					r.startDaemon(daemon.Zone+"-2", daemon.Zone)
					r.d.SetExcluded(daemon.Zone+"-2", true)
					time.Sleep(5 * time.Second)
					r.d.SetExcluded(daemon.Zone+"-2", false)
					r.stopDaemon(daemon.Name)
				}
			},
		},
		"the log is down for a second": {
			deployment: "derwent", allChatsSucceed: true, workload: demonstrator.DerwentWorkload, duration: 20 * time.Second,
			faults: func(r *faultRun) { r.takeLogDown(5*time.Second, time.Second) },
		},
		"the log is down for ten minutes": {
			deployment: "derwent", allChatsSucceed: true, workload: demonstrator.DerwentWorkload, duration: 11 * time.Minute,
			faults: func(r *faultRun) { r.takeLogDown(5*time.Second, 10*time.Minute) },
		},
		"the log is slow": {
			deployment: "mekong", allChatsSucceed: true, workload: demonstrator.MekongWorkload, duration: 30 * time.Second,
			faults: func(r *faultRun) {
				time.Sleep(5 * time.Second)
				r.s.Platform.Log.SetFaults(faker.LogFaults{Delay: 1500 * time.Millisecond})
				time.Sleep(20 * time.Second)
				r.s.Platform.Log.SetFaults(faker.LogFaults{})
			},
		},
		"append responses are lost": {
			deployment: "mekong", allChatsSucceed: true, workload: demonstrator.MekongWorkload, duration: 30 * time.Second,
			faults: func(r *faultRun) {
				for range 10 {
					time.Sleep(2 * time.Second)
					r.s.Platform.Log.SetFaults(faker.LogFaults{LoseResponses: 3})
				}
			},
		},
		"a zone is partitioned from all others": {
			deployment: "derwent", workload: demonstrator.DerwentWorkload, duration: 60 * time.Second,
			faults: func(r *faultRun) {
				time.Sleep(5 * time.Second)
				r.s.PartitionZone("ouse", "hamilton", "new-norfolk", "bothwell", demonstrator.PlatformZone)
				time.Sleep(30 * time.Second)
				r.s.HealZone("ouse", "hamilton", "new-norfolk", "bothwell", demonstrator.PlatformZone)
			},
		},
		"a zone is partitioned from the platform one way": {
			deployment: "mekong", allChatsSucceed: true, workload: demonstrator.MekongWorkload, duration: 60 * time.Second,
			faults: func(r *faultRun) {
				time.Sleep(5 * time.Second)
				r.s.Fabric.Partition(demonstrator.PlatformZone, "can-tho")
				time.Sleep(30 * time.Second)
				r.s.Fabric.Heal(demonstrator.PlatformZone, "can-tho")
			},
		},
		"a daemon is frozen and resumes": {
			deployment: "mekong", workload: demonstrator.MekongWorkload, duration: 60 * time.Second,
			faults: func(r *faultRun) {
				time.Sleep(5 * time.Second)
				addr := r.s.Daemon("can-tho-1").Addr
				r.s.Fabric.Pause(addr)
				time.Sleep(25 * time.Second)
				r.s.Fabric.Resume(addr)
			},
		},
		"an endpoint drains while the instance list lags": {
			deployment: "derwent", workload: demonstrator.DerwentWorkload, duration: 30 * time.Second, allSucceed: true,
			adjust: func(o *demonstrator.Options) { o.InstanceListLag = 30 * time.Second },
			faults: func(r *faultRun) {
				time.Sleep(5 * time.Second)
				for address, engine := range r.s.Engines {
					if address < "10.1.0.4" {
						engine.SetFaults(faker.EngineFaults{Draining: true})
						r.d.History.AddDraining(address, time.Now())
					}
				}
			},
		},
		"streams are aborted and resumed": {
			deployment: "mekong", workload: demonstrator.MekongWorkload, duration: 20 * time.Second, allSucceed: true,
			faults: func(r *faultRun) { r.setEngineFaults(faker.EngineFaults{TruncateAfterTokens: 5, MaxTruncations: 1}) },
		},
		"streams are aborted and cannot be resumed": {
			deployment: "mekong", workload: demonstrator.MekongWorkload, duration: 20 * time.Second,
			faults: func(r *faultRun) { r.setEngineFaults(faker.EngineFaults{TruncateAfterTokens: 5, RefuseResume: true}) },
		},
		"streams end early without their end marker": {
			deployment: "mekong", workload: demonstrator.MekongWorkload, duration: 20 * time.Second,
			faults: func(r *faultRun) { r.setEngineFaults(faker.EngineFaults{EndAfterTokens: 6, OmitEndMarker: true}) },
		},
		"every engine fails": {
			deployment: "derwent", workload: demonstrator.DerwentWorkload, duration: 20 * time.Second,
			faults: func(r *faultRun) { r.setEngineFaults(faker.EngineFaults{FailRequests: true}) },
		},
		"bookings run and their responses are lost": {
			deployment: "derwent", allChatsSucceed: true, workload: demonstrator.DerwentWorkload, duration: 20 * time.Second,
			faults: func(r *faultRun) { r.setServiceFaults(faker.ServiceFaults{DropResponses: true}) },
		},
		"the service fails after it ran": {
			deployment: "mekong", allChatsSucceed: true, workload: demonstrator.MekongWorkload, duration: 20 * time.Second,
			faults: func(r *faultRun) { r.setServiceFaults(faker.ServiceFaults{FailAfterExecution: true}) },
		},
		"the service refuses before it runs": {
			deployment: "mekong", allChatsSucceed: true, workload: demonstrator.MekongWorkload, duration: 20 * time.Second,
			faults: func(r *faultRun) { r.setServiceFaults(faker.ServiceFaults{Refuse: true}) },
		},
		"the service is slow past the deadline": {
			deployment: "derwent", workload: withChange(demonstrator.DerwentWorkload, func(w *demonstrator.Workload) { w.Deadline = 2 * time.Second }), duration: 20 * time.Second,
			faults: func(r *faultRun) { r.setServiceFaults(faker.ServiceFaults{Delay: 4 * time.Second}) },
		},
		"a booking goes to two daemons at once": {
			deployment: "mekong", allChatsSucceed: true, workload: withChange(demonstrator.MekongWorkload, func(w *demonstrator.Workload) { w.DuplicateBookings = true }), duration: 20 * time.Second, allSucceed: true,
		},
		"daemons are killed while they hold claims": {
			deployment: "derwent", workload: withChange(demonstrator.DerwentWorkload, func(w *demonstrator.Workload) { w.BookingRate = 8; w.DuplicateBookings = true }), duration: 20 * time.Second,
			faults: func(r *faultRun) {
				r.setServiceFaults(faker.ServiceFaults{Delay: 500 * time.Millisecond})
				time.Sleep(6 * time.Second)
				r.s.CrashDaemon("ouse-1")
				time.Sleep(3 * time.Second)
				r.s.CrashDaemon("bothwell-1")
			},
		},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runSimulation(t, row.deployment, row.adjust, func(t *testing.T, s *demonstrator.Simulation) {
				d := runUnderLoad(t, s, row.workload, row.duration, row.faults)
				succeeded, failed := countResults(d)
				if succeeded == 0 && row.allSucceed {
					t.Errorf("succeeded got 0, want some")
				}
				if row.allChatsSucceed {
					checkNoChatFailed(t, d)
				}
				if row.allSucceed && failed > 0 {
					t.Errorf("failed got %d, want 0", failed)
					logRequestErrors(t, d)
				}
				t.Logf("succeeded %d, failed %d", succeeded, failed)
			})
		})
	}
}

func withChange(workload demonstrator.Workload, change func(*demonstrator.Workload)) demonstrator.Workload {
	change(&workload)
	return workload
}

// stopDaemon stops a daemon gracefully and excludes it from the load balancer a
// second later. Load balancers notice that a daemon is not ready within a second
// or two.
func (r *faultRun) stopDaemon(name string) {
	daemon := r.s.Daemon(name)
	done := make(chan error, 1)
	go func() { done <- r.s.StopDaemon(daemon.Name) }()
	time.Sleep(time.Second)
	r.d.SetExcluded(name, true)
	if err := <-done; err != nil {
		r.t.Errorf("StopDaemon(%s) got error %v, want nil", name, err)
	}
}

func (r *faultRun) startDaemon(name, zone string) {
	if _, err := r.s.StartDaemon(name, zone); err != nil {
		r.t.Errorf("StartDaemon(%s) got error %v, want nil", name, err)
	}
}

func (r *faultRun) takeLogDown(delay, duration time.Duration) {
	time.Sleep(delay)
	r.s.Platform.Log.SetFaults(faker.LogFaults{Unavailable: true})
	time.Sleep(duration)
	r.s.Platform.Log.SetFaults(faker.LogFaults{})
}

func (r *faultRun) setEngineFaults(faults faker.EngineFaults) { r.s.SetEngineFaults(faults) }

func (r *faultRun) setServiceFaults(faults faker.ServiceFaults) { r.s.SetServiceFaults(faults) }
