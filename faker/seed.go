package faker

import "flag"

// Default seed and number of random cases of the property tests (package rapid).
const (
	rapidSeed   = "20261204"
	rapidChecks = "2000"
)

// FixRapidSeed parses the command line and sets the flags rapid.seed and rapid.checks to
// fixed defaults, so that property tests draw the same cases in every run. Flags
// given on the command line keep their values. Call it from TestMain. It panics if a
// flag refuses its value.
func FixRapidSeed() {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": rapidSeed, "rapid.checks": rapidChecks} {
		f := flag.Lookup(name)
		if f.Value.String() != f.DefValue {
			continue
		}
		if err := f.Value.Set(value); err != nil {
			panic(err)
		}
	}
}
