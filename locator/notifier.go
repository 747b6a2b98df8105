package locator

// notifier wakes goroutines that wait for a change of something with a name. It is not safe
// for concurrent use.
type notifier struct{ channels map[string]chan struct{} }

func newNotifier() *notifier { return &notifier{channels: map[string]chan struct{}{}} }

// subscribe returns a channel that is closed at the next notification for name.
func (n *notifier) subscribe(name string) <-chan struct{} {
	channel := n.channels[name]
	if channel == nil {
		channel = make(chan struct{})
		n.channels[name] = channel
	}
	return channel
}

// notify wakes the goroutines that wait for one of the names.
func (n *notifier) notify(names ...string) {
	for _, name := range names {
		if channel := n.channels[name]; channel != nil {
			close(channel)
			delete(n.channels, name)
		}
	}
}

// notifyAll wakes all waiting goroutines.
func (n *notifier) notifyAll() {
	for name, channel := range n.channels {
		close(channel)
		delete(n.channels, name)
	}
}
