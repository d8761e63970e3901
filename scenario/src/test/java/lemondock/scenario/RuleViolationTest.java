package lemondock.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.UnaryOperator;
import lemondock.dispatch.RouterFactory;
import lemondock.gateway.Gateway;
import lemondock.policy.Control;
import lemondock.policy.Idempotency;
import lemondock.policy.RequestClass;
import lemondock.policy.RequestRouter;
import lemondock.policy.RouterHost;
import lemondock.policy.RouterSettings;
import lemondock.policy.ServerEntry;
import lemondock.policy.ServerLifecycle;
import org.junit.jupiter.api.Test;

/**
 * For each rule, runs a gateway that breaks it on purpose; the auditor must detect that from the
 * traffic.
 */
class RuleViolationTest {
  /** Forwards every call to another host; faulty routers override a method to omit it. */
  private static class ForwardingHost implements RouterHost {
    private final RouterHost host;

    ForwardingHost(RouterHost host) {
      this.host = host;
    }

    @Override
    public void send(long requestId, long serverId, long timeout, long latestSend) {
      host.send(requestId, serverId, timeout, latestSend);
    }

    @Override
    public void reject(long requestId, long retryAfter) {
      host.reject(requestId, retryAfter);
    }

    @Override
    public void fail(long requestId) {
      host.fail(requestId);
    }

    @Override
    public void cancel(long requestId, int attempt) {
      host.cancel(requestId, attempt);
    }

    @Override
    public void releaseState(long requestId) {
      host.releaseState(requestId);
    }

    @Override
    public void setTimer(long token, long delay) {
      host.setTimer(token, delay);
    }

    @Override
    public void watchEndpoints() {
      host.watchEndpoints();
    }

    @Override
    public void log(String line) {
      host.log(line);
    }
  }

  /**
   * A router that gets a modified endpoint list.
   *
   * @param change replaces an entry of the list; null omits the server
   */
  private static RouterFactory withChangedEndpoints(UnaryOperator<ServerEntry> change) {
    return (settings, seed, host) -> {
      Control control = new Control(settings, seed, host);
      return (RequestRouter)
          Proxy.newProxyInstance(
              RuleViolationTest.class.getClassLoader(),
              new Class<?>[] {RequestRouter.class},
              (proxy, method, arguments) -> {
                if (method.getName().equals("endpointsChanged")) {
                  List<?> entries = (List<?>) arguments[2];
                  arguments[2] =
                      entries.stream()
                          .map(entry -> change.apply((ServerEntry) entry))
                          .filter(Objects::nonNull)
                          .toList();
                }
                return method.invoke(control, arguments);
              });
    };
  }

  private static Set<Integer> violatedRules(ScenarioScript script, RouterFactory routerFactory)
      throws InterruptedException {
    return new FaultScenario(script, routerFactory).play().audit().violatedRules();
  }

  private static ScenarioScript scenario(
      double seconds, double arrivalsPerSecond, ScriptedFault... faults) {
    return ScenarioScript.withDefaults()
        .withLoad("sabotage", seconds, arrivalsPerSecond, List.of(faults));
  }

  private static ScriptedFault fault(
      FaultKind kind, double atMs, double durationMs, double share, double size) {
    return new ScriptedFault(kind, atMs, durationMs, share, size);
  }

  @Test
  void missingAnswerIsDetected() throws InterruptedException {
    ScenarioScript script =
        scenario(1.5, 20, fault(FaultKind.LIST_EMPTY, 200, 3000, 1, 1)).withFleet(1, 1, 0, 8, 5);
    assertEquals(
        Set.of(1),
        violatedRules(
            script,
            (settings, seed, host) ->
                new Control(
                    settings,
                    seed,
                    new ForwardingHost(host) {
                      @Override
                      public void reject(long requestId, long retryAfter) {}
                    })));
    assertEquals(Set.of(), violatedRules(script, Gateway.DEFAULT_ROUTER_FACTORY));
  }

  @Test
  void duplicateEffectIsDetected() throws InterruptedException {
    ScenarioScript script =
        scenario(2, 60, fault(FaultKind.FAST_ERRORS, 0, 2000, 1, 0.5)).withFleet(2, 2, 0, 16, 5);
    assertEquals(
        Set.of(2),
        violatedRules(
            script,
            (settings, seed, host) ->
                new Control(
                    new RouterSettings(
                        settings.gatewayIndex(),
                        settings.gatewayCount(),
                        settings.zone(),
                        settings.timerResolutionMicros(),
                        settings.classes().stream()
                            .map(
                                requestClass ->
                                    new RequestClass(
                                        requestClass.latencyObjectiveMicros(),
                                        requestClass.objectiveMicrosPerThousandTokens(),
                                        requestClass.deadlineMicros(),
                                        requestClass.priorityWeight(),
                                        requestClass.latePriorityWeight(),
                                        Idempotency.IDEMPOTENT,
                                        requestClass.deduplicationScope(),
                                        requestClass.deduplicationWindowMicros(),
                                        requestClass.tokenIntervalObjectiveMicros()))
                            .toList(),
                        settings.tenants(),
                        settings.serverKinds(),
                        settings.limits(),
                        settings.rules(),
                        settings.streamsResume(),
                        settings.writersCanRead()),
                    seed,
                    host)));
    assertEquals(Set.of(), violatedRules(script, Gateway.DEFAULT_ROUTER_FACTORY));
  }

  @Test
  void ignoredDrainIsDetected() throws InterruptedException {
    ScenarioScript script =
        scenario(2.5, 60, fault(FaultKind.DEPLOY, 200, 1200, 0.4, 0.1)).withFleet(2, 3, 0, 16, 5);
    assertTrue(
        violatedRules(
                script,
                withChangedEndpoints(
                    server -> server.lifecycle() == ServerLifecycle.READY ? server : null))
            .contains(3));
    assertEquals(Set.of(), violatedRules(script, Gateway.DEFAULT_ROUTER_FACTORY));
  }

  @Test
  void overloadedColdServerIsDetected() throws InterruptedException {
    ScenarioScript script =
        scenario(3, 40, fault(FaultKind.CRASH, 300, 500, 1, 1)).withFleet(1, 1, 0, 2, 20);
    assertTrue(
        violatedRules(
                script,
                withChangedEndpoints(
                    server ->
                        new ServerEntry(
                            server.id(),
                            server.zone(),
                            server.kind(),
                            server.cell(),
                            server.lifecycle(),
                            server.weight(),
                            0)))
            .contains(4));
    assertEquals(Set.of(), violatedRules(script, Gateway.DEFAULT_ROUTER_FACTORY));
  }

  @Test
  void unreleasedStateIsDetected() throws InterruptedException {
    ScenarioScript script =
        scenario(2, 40, fault(FaultKind.GIVE_UP, 0, 2000, 1, 1)).withFleet(1, 1, 0, 2, 20);
    assertTrue(
        violatedRules(
                script,
                (settings, seed, host) ->
                    new Control(
                        settings,
                        seed,
                        new ForwardingHost(host) {
                          @Override
                          public void releaseState(long requestId) {}
                        }))
            .contains(5));
    assertEquals(Set.of(), violatedRules(script, Gateway.DEFAULT_ROUTER_FACTORY));
  }
}
