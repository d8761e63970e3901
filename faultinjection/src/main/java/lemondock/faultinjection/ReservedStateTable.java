package lemondock.faultinjection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The states that readers hold for requests, in truth, and for how long each was held while no
 * write waited for it.
 */
final class ReservedStateTable {
  private final Map<String, List<Held>> held = new HashMap<>();
  private final List<Span> spans = new ArrayList<>();

  /** How a span ended. */
  enum End {
    TAKEN,
    RELEASED,
    SERVER_DIED,
    LEFT
  }

  /** For how long a state was held with no write waiting for it. */
  record Span(String id, String server, long from, long until, End end) {}

  private static final class Held {
    private final String server;
    private long idleSince;
    private int waiting;

    Held(String server, long since) {
      this.server = server;
      this.idleSince = since;
    }
  }

  /** A read has ended and left its state at a server. */
  synchronized void made(String id, String server) {
    held.computeIfAbsent(id, k -> new ArrayList<>()).add(new Held(server, MonotonicClock.now()));
  }

  /** A write has arrived and waits for the newest state; false if there is none. */
  synchronized boolean attach(String id) {
    List<Held> all = held.get(id);
    if (all == null) {
      return false;
    }
    Held newest = all.get(all.size() - 1);
    if (newest.waiting++ == 0) {
      close(id, newest, End.TAKEN);
    }
    return true;
  }

  /** A write that waited has ended without taking the state. */
  synchronized void detach(String id) {
    List<Held> all = held.get(id);
    if (all != null) {
      Held newest = all.get(all.size() - 1);
      newest.waiting = Math.max(0, newest.waiting - 1);
      if (newest.waiting == 0) {
        newest.idleSince = MonotonicClock.now();
      }
    }
  }

  /**
   * A write takes the state, and all else that is held for the request goes by itself; false if
   * there is none any more.
   */
  synchronized boolean take(String id) {
    return end(id, true, End.TAKEN);
  }

  /** Whatever is held for the request and no write waits for is released. */
  synchronized void release(String id) {
    end(id, false, End.RELEASED);
  }

  private boolean end(String id, boolean alsoWaitedFor, End how) {
    List<Held> all = held.get(id);
    if (all == null) {
      return false;
    }
    all.removeIf(
        each -> {
          boolean ends = alsoWaitedFor || each.waiting == 0;
          if (ends && each.waiting == 0) {
            close(id, each, how);
          }
          return ends;
        });
    if (all.isEmpty()) {
      held.remove(id);
    }
    return true;
  }

  /** A server's process has ended, and with it what it held. */
  synchronized void died(String server) {
    for (String id : List.copyOf(held.keySet())) {
      List<Held> all = held.get(id);
      all.removeIf(
          each -> {
            boolean there = each.server.equals(server);
            if (there && each.waiting == 0) {
              close(id, each, End.SERVER_DIED);
            }
            return there;
          });
      if (all.isEmpty()) {
        held.remove(id);
      }
    }
  }

  private void close(String id, Held each, End how) {
    spans.add(new Span(id, each.server, each.idleSince, MonotonicClock.now(), how));
  }

  /** All spans so far; what is still held counts as held until now. */
  synchronized List<Span> spans() {
    List<Span> all = new ArrayList<>(spans);
    held.forEach(
        (id, states) ->
            states.stream()
                .filter(each -> each.waiting == 0)
                .forEach(
                    each ->
                        all.add(
                            new Span(
                                id, each.server, each.idleSince, MonotonicClock.now(), End.LEFT))));
    return all;
  }
}
