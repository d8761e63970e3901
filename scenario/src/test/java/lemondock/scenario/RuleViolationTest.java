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

/** For each rule a gateway that breaks it on purpose; the auditor must see it on the sockets. */
class RuleViolationTest {
  /** A host that hands on everything; a saboteur leaves something out. */
  private static class Host implements RouterHost {
    private final RouterHost host;

    Host(RouterHost host) {
      this.host = host;
    }

    @Override
    public void send(long requestId, long serverId, long timeout) {
      host.send(requestId, serverId, timeout);
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

  /** A module that hears a changed list; null leaves a server out. */
  private static RouterFactory deaf(UnaryOperator<ServerEntry> heard) {
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
                          .map(s -> heard.apply((ServerEntry) s))
                          .filter(Objects::nonNull)
                          .toList();
                }
                return method.invoke(control, arguments);
              });
    };
  }

  private static Set<Integer> broken(ScenarioScript script, RouterFactory maker)
      throws InterruptedException {
    return new FaultScenario(script, maker).play().audit().violatedRules();
  }

  private static ScenarioScript day(double seconds, double rate, ScriptedFault... faults) {
    return ScenarioScript.withDefaults().withLoad("sabotage", seconds, rate, List.of(faults));
  }

  private static ScriptedFault fault(
      FaultKind kind, double at, double length, double part, double size) {
    return new ScriptedFault(kind, at, length, part, size);
  }

  @Test
  void anAnswerNeverGivenIsSeen() throws InterruptedException {
    ScenarioScript script =
        day(1.5, 20, fault(FaultKind.LIST_EMPTY, 200, 3000, 1, 1)).withFleet(1, 1, 0, 8, 5);
    assertEquals(
        Set.of(1),
        broken(
            script,
            (settings, seed, host) ->
                new Control(
                    settings,
                    seed,
                    new Host(host) {
                      @Override
                      public void reject(long requestId, long retryAfter) {}
                    })));
    assertEquals(Set.of(), broken(script, Gateway.DEFAULT_ROUTER_FACTORY));
  }

  @Test
  void anEffectTwiceIsSeen() throws InterruptedException {
    ScenarioScript script =
        day(2, 60, fault(FaultKind.FAST_ERRORS, 0, 2000, 1, 0.5)).withFleet(2, 2, 0, 16, 5);
    assertEquals(
        Set.of(2),
        broken(
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
                                c ->
                                    new RequestClass(
                                        c.latencyObjectiveMicros(),
                                        c.objectiveMicrosPerThousandTokens(),
                                        c.deadlineMicros(),
                                        c.priorityWeight(),
                                        c.latePriorityWeight(),
                                        Idempotency.IDEMPOTENT,
                                        c.deduplicationScope(),
                                        c.deduplicationWindowMicros(),
                                        c.tokenIntervalObjectiveMicros()))
                            .toList(),
                        settings.tenants(),
                        settings.serverKinds(),
                        settings.limits(),
                        settings.rules(),
                        settings.streamsResume(),
                        settings.writersCanRead()),
                    seed,
                    host)));
    assertEquals(Set.of(), broken(script, Gateway.DEFAULT_ROUTER_FACTORY));
  }

  @Test
  void aDrainIgnoredIsSeen() throws InterruptedException {
    ScenarioScript script =
        day(2.5, 60, fault(FaultKind.DEPLOY, 200, 1200, 0.4, 0.1)).withFleet(2, 3, 0, 16, 5);
    assertTrue(
        broken(script, deaf(s -> s.lifecycle() == ServerLifecycle.READY ? s : null)).contains(3));
    assertEquals(Set.of(), broken(script, Gateway.DEFAULT_ROUTER_FACTORY));
  }

  @Test
  void aColdServerPushedOverIsSeen() throws InterruptedException {
    ScenarioScript script =
        day(3, 40, fault(FaultKind.CRASH, 300, 500, 1, 1)).withFleet(1, 1, 0, 2, 20);
    assertTrue(
        broken(
                script,
                deaf(
                    s ->
                        new ServerEntry(
                            s.id(), s.zone(), s.kind(), s.cell(), s.lifecycle(), s.weight(), 0)))
            .contains(4));
    assertEquals(Set.of(), broken(script, Gateway.DEFAULT_ROUTER_FACTORY));
  }

  @Test
  void aStateNeverLetGoIsSeen() throws InterruptedException {
    ScenarioScript script =
        day(2, 40, fault(FaultKind.GIVE_UP, 0, 2000, 1, 1)).withFleet(1, 1, 0, 2, 20);
    assertTrue(
        broken(
                script,
                (settings, seed, host) ->
                    new Control(
                        settings,
                        seed,
                        new Host(host) {
                          @Override
                          public void releaseState(long requestId) {}
                        }))
            .contains(5));
    assertEquals(Set.of(), broken(script, Gateway.DEFAULT_ROUTER_FACTORY));
  }
}
