package demonstrator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"oleanderstall/checker"
	"oleanderstall/imitator"
	"oleanderstall/runner"
)

// Times of the hosted fleet. hostedTimeout bounds the wait for its answer.
const (
	hostedGracePeriod   = checker.Duration(3 * time.Second)
	hostedLeaseDuration = checker.Duration(time.Second)
	hostedLoadTime      = 200 * time.Millisecond
	hostedEventInterval = 5 * time.Millisecond
	hostedTimeout       = 10 * time.Second
)

// showHosted shows the hosted mode: it runs an entry and sidecars on a stand-in of a
// hosting platform and sends a model request.
func (f *fleet) showHosted(ctx context.Context) error {
	site, err := imitator.NewSite(imitator.SiteOptions{
		Engines: 2, Services: 1, Models: 4, ModelsPerEngine: 2, LoadTime: hostedLoadTime, EventInterval: hostedEventInterval, EventsPerStream: 10, ServiceTime: orderServiceTime,
		Rate: 1e6, Burst: 1e6,
	})
	if err != nil {
		return err
	}
	f.stops = append(f.stops, site.Stop)
	for i, address := range site.EngineAddresses {
		s := hostedSettings(site, "sidecar", fmt.Sprint("sidecar-", i))
		s.Sidecar = &checker.Sidecar{Kind: "engine", BackendURL: "http://" + address, Pool: imitator.SiteModels}
		c, err := runner.StartHostedSidecar(s, f.logger)
		if err != nil {
			return err
		}
		f.stops = append(f.stops, c.Stop)
	}
	s := hostedSettings(site, "entry", "entry-0")
	s.Entry = &checker.Entry{CallerAddress: "127.0.0.1:0"}
	e, err := runner.StartHostedEntry(s, f.logger)
	if err != nil {
		return err
	}
	f.stops = append(f.stops, e.Stop)
	fmt.Println("hosted: 1 entry and 2 sidecars on a platform with a store, 2 engines and a service")
	return requestHostedModel(ctx, e.Addresses().Callers)
}

func hostedSettings(site *imitator.Site, role, name string) *checker.Settings {
	return &checker.Settings{
		Role: role, Name: name, Centre: imitator.SiteCentre, PeerAddress: "127.0.0.1:0",
		Hosted: &checker.Hosted{StoreAddress: site.StoreAddress, ReadinessAddress: "127.0.0.1:0", GracePeriod: hostedGracePeriod, EngineLease: hostedLeaseDuration},
	}
}

// requestHostedModel requests a model that no engine has loaded and prints the number
// of events in the answer. It retries until hostedTimeout, since the entry refuses the
// request while it does not know the engines yet.
func requestHostedModel(ctx context.Context, address string) error {
	limitedCtx, cancel := context.WithTimeout(ctx, hostedTimeout)
	defer cancel()
	for i := 0; ; i++ {
		status, text, err := sendHostedRequest(limitedCtx, address, fmt.Sprintf("%016x", i+1))
		switch {
		case err != nil:
			return err
		case status == http.StatusOK:
			fmt.Printf("hosted: a model was loaded for a request and answered with %d events\n", strings.Count(text, "data: "))
			return nil
		}
		select {
		case <-limitedCtx.Done():
			return eris.Errorf("the hosted entry answered %d: %s", status, text)
		case <-time.After(pollInterval):
		}
	}
}

// sendHostedRequest sends one model request and returns the status and the body of the
// answer.
func sendHostedRequest(ctx context.Context, address, id string) (int, string, error) {
	req, err := imitator.NewModelRequest(ctx, address, id, "/draft/x", imitator.SiteModel(0))
	if err != nil {
		return 0, "", err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", eris.Wrap(err, "call the hosted entry")
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, string(body), eris.Wrap(err, "read the answer")
}
