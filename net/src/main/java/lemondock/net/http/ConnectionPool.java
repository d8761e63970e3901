package lemondock.net.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The connections of one {@link HttpClient}, grouped by address. Loop thread only. */
final class ConnectionPool {
  /** Used instead of a shard number if a connection of any shard may be taken. */
  static final int ANY_SHARD = -1;

  private final Map<InetSocketAddress, AddressPool> addressPools = new HashMap<>();

  /** All connections: being opened, in use or idle. */
  private final Set<ClientConnection> connections = new HashSet<>();

  /** The connections to one address. */
  static final class AddressPool {
    private final InetSocketAddress address;

    /** Idle connections, the most recently used one last. */
    private final ArrayDeque<ClientConnection> idle = new ArrayDeque<>();

    private int connections;

    private AddressPool(InetSocketAddress address) {
      this.address = address;
    }

    InetSocketAddress address() {
      return address;
    }

    /** Number of connections to this address: being opened, in use or idle. */
    int connections() {
      return connections;
    }

    /**
     * Takes the most recently used idle connection of the given shard.
     *
     * @param shard shard number or {@link #ANY_SHARD}
     * @param anyShard whether the most recently used connection is taken whatever its shard
     */
    Optional<ClientConnection> takeIdle(int shard, boolean anyShard) {
      if (idle.isEmpty()) {
        return Optional.empty();
      }
      if (shard == ANY_SHARD || anyShard || idle.getLast().shard() == shard) {
        return Optional.of(idle.removeLast());
      }
      for (Iterator<ClientConnection> iterator = idle.descendingIterator(); iterator.hasNext(); ) {
        ClientConnection connection = iterator.next();
        if (connection.shard() == shard) {
          iterator.remove();
          return Optional.of(connection);
        }
      }
      return Optional.empty();
    }

    void addIdle(ClientConnection connection) {
      idle.add(connection);
    }

    void removeIdle(ClientConnection connection) {
      idle.remove(connection);
    }
  }

  AddressPool forAddress(InetSocketAddress address) {
    return addressPools.computeIfAbsent(address, AddressPool::new);
  }

  void add(ClientConnection connection) {
    connection.addressPool().connections++;
    connections.add(connection);
  }

  /** Removes a connection that is closed. */
  void remove(ClientConnection connection) {
    AddressPool addressPool = connection.addressPool();
    addressPool.connections--;
    connections.remove(connection);
    addressPool.removeIdle(connection);
    if (addressPool.connections == 0 && addressPool.idle.isEmpty()) {
      addressPools.remove(addressPool.address, addressPool);
    }
  }

  /** Closes the connection that has been idle longest; returns false if none is idle. */
  boolean evictOldestIdle() {
    Optional<ClientConnection> oldest =
        addressPools.values().stream()
            .filter(addressPool -> !addressPool.idle.isEmpty())
            .map(addressPool -> addressPool.idle.getFirst())
            .min(Comparator.comparingLong(ClientConnection::idleSinceMicros));
    oldest.ifPresent(ClientConnection::evict);
    return oldest.isPresent();
  }

  /** Number of connections to all addresses: being opened, in use or idle. */
  int connections() {
    return connections.size();
  }

  boolean hasIdle(InetSocketAddress address) {
    AddressPool addressPool = addressPools.get(address);
    return addressPool != null && !addressPool.idle.isEmpty();
  }

  Map<InetSocketAddress, Integer> requestsByAddress() {
    Map<InetSocketAddress, Integer> requests = new HashMap<>();
    connections.stream()
        .filter(ClientConnection::hasCall)
        .forEach(connection -> requests.merge(connection.address(), 1, Integer::sum));
    return requests;
  }
}
