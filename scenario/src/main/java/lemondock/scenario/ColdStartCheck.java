package lemondock.scenario;

import java.util.List;
import java.util.function.Consumer;
import lemondock.emulator.EngineSettings;
import lemondock.emulator.TrafficEvent;
import lemondock.gateway.settings.GatewaySettings;

/**
 * Rule 4: cold servers are not overloaded. Over any window of the stated length, what all gateways
 * together send is at most the factor times what the server can do in that window, each request
 * weighing as the mean of the run. Chance gets two and two square roots of the budget on top.
 */
final class ColdStartCheck implements RuleCheck {
  private static final double DEFAULT_PROMPT_TOKENS = 500;
  private static final double DEFAULT_ANSWER_TOKENS = 30;
  private static final double MIN_WORK_MS = 0.1;

  @Override
  public int rule() {
    return 4;
  }

  @Override
  public void check(AuditedRun run, Consumer<String> violations) {
    for (TrafficEvent event : run.events()) {
      boolean isColdStart =
          event.kind() == TrafficEvent.Kind.STARTED
              && run.isEngine(event.server())
              && event.value() > 0;
      if (isColdStart && !checkWarmUp(run, event, run.engine(event.server()), violations)) {
        return;
      }
    }
  }

  /** Whether one warm-up of one engine was without a violation. */
  private static boolean checkWarmUp(
      AuditedRun run, TrafficEvent start, EngineSettings engine, Consumer<String> violations) {
    double windowMicros = GatewaySettings.micros(run.rules().overloadWindowMs());
    double capacityPerMicro = requestsPerSecond(run, engine) / 1e6;
    List<Long> arrivals = arrivalsWhileCold(run, start, engine);
    for (int from = 0; from < arrivals.size(); from++) {
      long beginMicros = arrivals.get(from);
      int to = from;
      while (to < arrivals.size() && arrivals.get(to) - beginMicros <= windowMicros) {
        to++;
      }
      double speed = speedAt(start, engine, beginMicros + windowMicros / 2);
      double budget = run.rules().overloadFactor() * speed * capacityPerMicro * windowMicros;
      if (to - from > budget + 2 + 2 * Math.sqrt(budget)) {
        violations.accept(
            engine.name()
                + " was sent "
                + (to - from)
                + " requests in "
                + (long) (windowMicros / AuditedRun.MICROS_PER_MILLI)
                + " ms, "
                + (beginMicros - start.atMicros()) / AuditedRun.MICROS_PER_MILLI
                + " ms after its start, of "
                + Math.round(budget)
                + " that it bears");
        return false;
      }
    }
    return true;
  }

  private static double warmUpMicros(TrafficEvent start) {
    return (double) start.value() * AuditedRun.MICROS_PER_MILLI;
  }

  private static List<Long> arrivalsWhileCold(
      AuditedRun run, TrafficEvent start, EngineSettings engine) {
    double warmAtMicros = start.atMicros() + warmUpMicros(start);
    return run.events().stream()
        .filter(event -> event.server().equals(engine.name()))
        .filter(event -> event.atMicros() >= start.atMicros() && event.atMicros() <= warmAtMicros)
        .filter(
            event ->
                event.kind() == TrafficEvent.Kind.PREFILL
                    || event.kind() == TrafficEvent.Kind.DECODE)
        .map(TrafficEvent::atMicros)
        .toList();
  }

  /** Speed of a warming engine as a share of its full speed. */
  private static double speedAt(TrafficEvent start, EngineSettings engine, double atMicros) {
    double warmedShare = Math.min(1, (atMicros - start.atMicros()) / warmUpMicros(start));
    return engine.coldShare() + (1 - engine.coldShare()) * warmedShare;
  }

  /** What a warm engine can do, by the mean work that was sent in the run. */
  private static double requestsPerSecond(AuditedRun run, EngineSettings engine) {
    double promptTokens =
        run.events().stream()
            .filter(event -> event.kind() == TrafficEvent.Kind.PREFILL)
            .mapToLong(TrafficEvent::value)
            .average()
            .orElse(DEFAULT_PROMPT_TOKENS);
    double answerTokens =
        run.calls().stream()
            .filter(call -> call.tokens > 0)
            .mapToInt(call -> call.tokens)
            .average()
            .orElse(DEFAULT_ANSWER_TOKENS);
    double prefillMs =
        engine.role().equals("writer")
            ? 0
            : engine.readMs() + 1000.0 * promptTokens / engine.readPerSecond();
    double decodeMs =
        engine.role().equals("reader") ? 0 : engine.firstMs() + answerTokens * engine.tokenMs();
    return engine.slots() * 1000.0 / Math.max(MIN_WORK_MS, prefillMs + decodeMs);
  }
}
