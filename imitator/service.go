package imitator

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Service is a stand-in of a plain service that takes orders. It is safe for
// concurrent use.
type Service struct {
	faultInjector
	limitNamer
	serviceTime time.Duration
	mu          sync.Mutex
	runs        map[string]int
	callerKeys  int
}

// Order is the answer to a placed order.
type Order struct {
	Number    int    `json:"number"`
	Workspace string `json:"workspace"`
	Item      string `json:"item"`
}

// NewService returns a service that takes serviceTime to process an order.
func NewService(serviceTime time.Duration) *Service {
	s := &Service{serviceTime: serviceTime, runs: map[string]int{}}
	m := mux.NewRouter()
	m.HandleFunc("/orders", s.handlePlace).Methods(http.MethodPost)
	m.HandleFunc("/orders/{number}", s.handleLookup).Methods(http.MethodGet)
	m.HandleFunc("/status", s.handleLookup).Methods(http.MethodGet)
	m.HandleFunc("/runs", s.handleCounts).Methods(http.MethodGet)
	s.header = ownLimitHeader
	s.next = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.ServeHTTP(s.nameIn(w), r) })
	return s
}

// Runs returns the number of orders that were processed, by the body of the order.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := map[string]int{}
	for body, n := range s.runs {
		runs[body] = n
	}
	return runs
}

func (s *Service) handlePlace(w http.ResponseWriter, r *http.Request) {
	s.recordArrival(r)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.runs[string(body)]++
	number := len(s.runs)
	if r.Header.Get("Authorization") != "" {
		s.callerKeys++
	}
	s.mu.Unlock()
	time.Sleep(s.serviceTime)
	writeJSON(w, http.StatusCreated, Order{Number: number, Workspace: r.Header.Get("X-Workspace"), Item: string(body)})
}

func (s *Service) handleLookup(w http.ResponseWriter, r *http.Request) {
	s.recordArrival(r)
	writeJSON(w, http.StatusOK, Order{Workspace: r.Header.Get("X-Workspace"), Item: r.URL.Path})
}

// ServiceCounts counts the calls that a stand-in service has processed.
type ServiceCounts struct {
	Runs map[string]int `json:"runs"`
	// CallerKeys counts the orders that carried a caller's key.
	CallerKeys int `json:"keys"`
}

func (s *Service) handleCounts(w http.ResponseWriter, _ *http.Request) {
	runs := s.Runs()
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, ServiceCounts{Runs: runs, CallerKeys: s.callerKeys})
}
