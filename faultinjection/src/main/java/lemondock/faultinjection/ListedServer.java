package lemondock.faultinjection;

/**
 * An entry of an endpoint list.
 *
 * @param address HOST:PORT at which the gateway that gets the list reaches the server
 * @param startedMillis wall time at which the server started, 0 if it started long ago
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
