package faker

import "flag"

// Seed and number of the schedules that property tests draw.
const (
	drawSeed   = "20261204"
	drawChecks = "2000"
)

// FixSeed parses the command line and fixes the seed and the number of the
// schedules that property tests draw, unless the command line gives others. It is
// for TestMain.
func FixSeed() {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": drawSeed, "rapid.checks": drawChecks} {
		f := flag.Lookup(name)
		if f.Value.String() != f.DefValue {
			continue
		}
		if err := f.Value.Set(value); err != nil {
			panic(err)
		}
	}
}
