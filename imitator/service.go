package imitator

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Service is the stand-in of a plain order service.
type Service struct {
	faults
	work time.Duration
	mu   sync.Mutex
	runs map[string]int
	keys int
}

// Order is the answer to a placed order.
type Order struct {
	Number    int    `json:"number"`
	Workspace string `json:"workspace"`
	Item      string `json:"item"`
}

// NewService returns a service that works for that long on each order.
func NewService(work time.Duration) *Service {
	s := &Service{work: work, runs: map[string]int{}}
	m := mux.NewRouter()
	m.HandleFunc("/orders", s.place).Methods(http.MethodPost)
	m.HandleFunc("/orders/{number}", s.look).Methods(http.MethodGet)
	m.HandleFunc("/status", s.look).Methods(http.MethodGet)
	m.HandleFunc("/runs", s.count).Methods(http.MethodGet)
	s.next = m
	return s
}

// Runs returns how often each order's body was run.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := map[string]int{}
	for body, n := range s.runs {
		runs[body] = n
	}
	return runs
}

func (s *Service) place(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.runs[string(body)]++
	number := len(s.runs)
	if r.Header.Get("Authorization") != "" {
		s.keys++
	}
	s.mu.Unlock()
	time.Sleep(s.work)
	answer(w, http.StatusCreated, Order{Number: number, Workspace: r.Header.Get("X-Workspace"), Item: string(body)})
}

func (s *Service) look(w http.ResponseWriter, r *http.Request) {
	answer(w, http.StatusOK, Order{Workspace: r.Header.Get("X-Workspace"), Item: r.URL.Path})
}

// Counts is what a stand-in service was made to do.
type Counts struct {
	Runs map[string]int `json:"runs"`
	// Keys counts calls that carried a caller's key.
	Keys int `json:"keys"`
}

func (s *Service) count(w http.ResponseWriter, _ *http.Request) {
	runs := s.Runs()
	s.mu.Lock()
	defer s.mu.Unlock()
	answer(w, http.StatusOK, Counts{Runs: runs, Keys: s.keys})
}
