package fleetentry

// maxBodyBytes is the manifest's limit of a call's body; 0 if it has none, or none is known.
func (o *OperatorWatcher) maxBodyBytes() int64 {
	if m := o.Manifest(); m != nil {
		return m.MaxBodyBytes
	}
	return 0
}
