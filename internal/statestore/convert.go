package statestore

import "gingertally/internal/wire"

// This file converts between the protocol's messages and this package's types.

func keyValueOf(item wire.StoreItem) KeyValue {
	return KeyValue{Key: item.Path, Value: item.V, ModRevision: item.Stamp, Lease: LeaseID(item.Hold)}
}

func commitMessage(compares []Compare, ops []Op) wire.Commit {
	var message wire.Commit
	for _, c := range compares {
		message.If = append(message.If, wire.Condition{Path: c.Key, Stamp: c.ModRevision})
	}
	for _, op := range ops {
		if op.Delete {
			message.Apply = append(message.Apply, wire.Change{Drop: op.Key})
			continue
		}
		message.Apply = append(message.Apply, wire.Change{Put: op.Key, V: op.Value, Hold: uint64(op.Lease)})
	}
	return message
}

func watchResponseOf(news wire.News) WatchResponse {
	response := WatchResponse{Revision: news.Ledger, Events: make([]Event, 0, len(news.News))}
	for _, event := range news.News {
		response.Events = append(response.Events, eventOf(event))
	}
	return response
}

// eventOf converts a watch event, in which Put names a key that was put and Drop one that was
// deleted.
func eventOf(event wire.NewsEvent) Event {
	if event.Put == "" {
		return Event{Delete: true, KeyValue: KeyValue{Key: event.Drop, ModRevision: event.Stamp}}
	}
	return Event{KeyValue: KeyValue{Key: event.Put, Value: event.V, ModRevision: event.Stamp}}
}
