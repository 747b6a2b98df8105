package dispatcher

// Software are the versions of the software of backend servers at which a request may run. The zero
// value allows all.
type Software struct {
	restricted bool
	version    string
}

// OnlySoftware allows one version. It may be empty, which is that of servers that name none.
func OnlySoftware(version string) Software { return Software{restricted: true, version: version} }

// Version returns the only version that is allowed, or false if all are.
func (s Software) Version() (version string, restricted bool) { return s.version, s.restricted }

// Allow reports whether a request may run at a version.
func (s Software) Allow(version string) bool { return !s.restricted || s.version == version }

// StreamID returns the ID of the request that began the stream that r asks for: r itself, unless its
// caller takes a stream up.
func (r *Request) StreamID() string {
	if r.FirstIndex > 0 {
		return r.Resumes
	}
	return r.ID
}
