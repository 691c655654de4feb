package failure

// serveChild runs this process as a node when it was started as one.
func serveChild() bool { return false }
