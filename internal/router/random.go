package router

import (
	"math/rand/v2"
	"sync"
)

// lockedRandom is a random number generator that is safe for concurrent use.
type lockedRandom struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newLockedRandom(seed uint64) *lockedRandom {
	return &lockedRandom{random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

func (l *lockedRandom) withLock(action func(*rand.Rand)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	action(l.random)
}

func (l *lockedRandom) nextFloat() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64()
}
