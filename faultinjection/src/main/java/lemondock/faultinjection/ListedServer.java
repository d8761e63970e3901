package lemondock.faultinjection;

/**
 * A server as endpoint lists name it.
 *
 * @param address where the gateway that gets the list reaches it, HOST:PORT
 * @param startedMillis wall time of its start, 0 for long ago
 */
record ListedServer(
    String id,
    String address,
    String zone,
    ServerRole role,
    ListedState state,
    long startedMillis) {
  String toJson() {
    return "{\"id\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\",\"kind\":\"%s\",\"cell\":0,\"state\":\"%s\",\"weight\":1.0,\"started_ms\":%d}"
        .formatted(id, address, zone, role.code(), state.wireName(), startedMillis);
  }
}
