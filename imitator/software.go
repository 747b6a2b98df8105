package imitator

// SoftwareField is the field of an event that names the version of the software that wrote it.
const SoftwareField = "x-software"

// softwareLine returns the line of an event that names the version of the software, or an empty text if
// the server names none.
func (b *Backend) softwareLine() string {
	if b.options.Software == "" {
		return ""
	}
	return SoftwareField + ": " + b.options.Software + "\n"
}

// Software returns the version of the server's software.
func (b *Backend) Software() string { return b.options.Software }
