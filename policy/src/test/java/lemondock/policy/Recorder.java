package lemondock.policy;

import java.util.ArrayList;
import java.util.List;
import lemondock.policy.Routing.Group;
import lemondock.policy.Routing.Kind;
import lemondock.policy.Routing.Limits;
import lemondock.policy.Routing.Repeat;
import lemondock.policy.Routing.RequestClass;
import lemondock.policy.Routing.Role;
import lemondock.policy.Routing.Rules;
import lemondock.policy.Routing.Server;
import lemondock.policy.Routing.Settings;
import lemondock.policy.Routing.Standing;
import lemondock.policy.Routing.Tenant;

/**
 * A host that writes down every action, and makers of small settings, servers and requests for
 * tests.
 */
final class Recorder implements Routing.Host {
  /** One action; what it does not have is zero. */
  record Action(String name, long id, long server, long value) {}

  static final long SECOND = 1_000_000L;
  static final int READER = 0;
  static final int WRITER = 1;
  static final int MIXED = 2;
  static final int SAFE = 0;
  static final int ONCE = 1;
  static final int KEYED = 2;

  final List<Action> actions = new ArrayList<>();

  /** The actions since the last call. */
  List<Action> take() {
    List<Action> taken = actions.stream().filter(a -> !a.name().equals("log")).toList();
    actions.clear();
    return taken;
  }

  /** The actions of one name since the last call of take. */
  List<Action> of(String name) {
    return actions.stream().filter(a -> a.name().equals(name)).toList();
  }

  @Override
  public void send(long requestId, long serverId, long timeout) {
    actions.add(new Action("send", requestId, serverId, timeout));
  }

  @Override
  public void refuse(long requestId, long retryAfter) {
    actions.add(new Action("refuse", requestId, 0, retryAfter));
  }

  @Override
  public void fail(long requestId) {
    actions.add(new Action("fail", requestId, 0, 0));
  }

  @Override
  public void cancel(long requestId, int attempt) {
    actions.add(new Action("cancel", requestId, 0, attempt));
  }

  @Override
  public void release(long requestId) {
    actions.add(new Action("release", requestId, 0, 0));
  }

  @Override
  public void timer(long token, long delay) {
    actions.add(new Action("timer", token, 0, delay));
  }

  @Override
  public void watchServers() {
    actions.add(new Action("watch", 0, 0, 0));
  }

  @Override
  public void log(String line) {
    actions.add(new Action("log", 0, 0, line.hashCode()));
  }

  static Settings settings(int maxAttempts, boolean cancel) {
    return settings(maxAttempts, cancel, 2);
  }

  static Settings settings(int maxAttempts, boolean cancel, int gateways) {
    return new Settings(
        0,
        gateways,
        0,
        2_000,
        List.of(
            new RequestClass(SECOND, 40_000, 5 * SECOND, 1, 0.2, Repeat.SAFE, Group.ALL, 0, 60_000),
            new RequestClass(SECOND, 40_000, 5 * SECOND, 2, 0.2, Repeat.ONCE, Group.ALL, 0, 60_000),
            new RequestClass(
                SECOND, 40_000, 5 * SECOND, 2, 0.2, Repeat.KEYED, Group.CELL, SECOND, 60_000)),
        List.of(new Tenant(20), new Tenant(5)),
        List.of(
            new Kind(Role.READER, 200_000),
            new Kind(Role.WRITER, 150_000),
            new Kind(Role.MIXED, 200_000)),
        new Limits(maxAttempts, cancel, false, false, false, true, SECOND, 250_000, false),
        new Rules(8_000, 250_000, 0.3, 12 * SECOND, 2.5, 2 * SECOND, 300_000),
        false,
        false);
  }

  static Server server(long id, int kind, int cell, Standing standing, long startedAt) {
    return new Server(id, cell / 2, kind, cell, standing, 1, startedAt);
  }

  static Server ready(long id, int kind, int cell) {
    return server(id, kind, cell, Standing.READY, 0);
  }

  static Routing.Request request(long id, int cls, long session, long prefix, int prompt) {
    return new Routing.Request(
        id,
        cls,
        0,
        session,
        prefix,
        prompt,
        prefix == 0 ? 0 : prompt * 3 / 4,
        200,
        4 * SECOND,
        0,
        false,
        false);
  }
}
