package lemondock.scenario;

import java.util.List;
import java.util.function.Consumer;
import lemondock.emulator.EngineSettings;
import lemondock.emulator.TrafficEvent;
import lemondock.gateway.settings.GatewaySettings;

/**
 * Rule 4: cold servers are not overloaded. In any window of the configured length, all gateways
 * together send a warming server at most the configured factor times the number of requests that it
 * can process in that window; each request counts as the mean request of the run. The limit adds 2
 * plus twice the square root of that budget for random variation.
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

  /** Whether a warm-up of an engine has no violation; reports the first one otherwise. */
  private static boolean checkWarmUp(
      AuditedRun run, TrafficEvent start, EngineSettings engine, Consumer<String> violations) {
    double windowMicros = GatewaySettings.micros(run.rules().overloadWindowMs());
    double requestsPerMicro = requestsPerSecond(run, engine) / 1e6;
    List<Long> arrivals = arrivalsWhileCold(run, start, engine);
    for (int firstIndex = 0; firstIndex < arrivals.size(); firstIndex++) {
      long beginMicros = arrivals.get(firstIndex);
      int endIndex = firstIndex;
      while (endIndex < arrivals.size() && arrivals.get(endIndex) - beginMicros <= windowMicros) {
        endIndex++;
      }
      double speedShare = speedAt(start, engine, beginMicros + windowMicros / 2);
      double budget = run.rules().overloadFactor() * speedShare * requestsPerMicro * windowMicros;
      if (endIndex - firstIndex > budget + 2 + 2 * Math.sqrt(budget)) {
        violations.accept(
            engine.name()
                + " received "
                + (endIndex - firstIndex)
                + " requests in "
                + (long) (windowMicros / AuditedRun.MICROS_PER_MILLI)
                + " ms, "
                + (beginMicros - start.atMicros()) / AuditedRun.MICROS_PER_MILLI
                + " ms after its start; its budget is "
                + Math.round(budget));
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

  /** Speed of a warming engine as a share of its full speed, which it reaches linearly. */
  private static double speedAt(TrafficEvent start, EngineSettings engine, double atMicros) {
    double warmedShare = Math.min(1, (atMicros - start.atMicros()) / warmUpMicros(start));
    return engine.coldShare() + (1 - engine.coldShare()) * warmedShare;
  }

  /** Capacity of a warm engine for requests of the run's mean length. */
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
