package gossiper

// silent implements gnet's logger; what matters reaches the node's own log.
type silent struct{}

// Debugf implements logging.Logger.
func (silent) Debugf(string, ...any) {}

// Infof implements logging.Logger.
func (silent) Infof(string, ...any) {}

// Warnf implements logging.Logger.
func (silent) Warnf(string, ...any) {}

// Errorf implements logging.Logger.
func (silent) Errorf(string, ...any) {}

// Fatalf implements logging.Logger.
func (silent) Fatalf(string, ...any) {}
