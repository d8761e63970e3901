package lemondock.benchmark;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import lemondock.benchmark.RecordedScenario.Call;

/**
 * A degradation of service as clients of a gateway observed it, among all its calls or those of one
 * class. It starts at a bad (lost or late) call if at least four calls, and at least a quarter of
 * all calls, were bad in the two seconds from that call on.
 *
 * @param fromMicros when its first bad call was sent
 * @param toMicros when its last bad call was sent
 */
record Degradation(long fromMicros, long toMicros) {
  private static final long WINDOW_MICROS = TimeUnit.SECONDS.toMicros(2);
  private static final long MAX_GAP_MICROS = TimeUnit.SECONDS.toMicros(1);
  private static final double MIN_BAD_SHARE = 0.25;
  private static final int MIN_BAD_CALLS = 4;

  /** Finds the degradations among calls; merges those at most a second apart. */
  static List<Degradation> find(List<Call> calls) {
    List<Call> sorted = new ArrayList<>(calls);
    sorted.sort(Comparator.comparingLong(Call::atMicros));
    List<Degradation> found = new ArrayList<>();
    for (int i = 0; i < sorted.size(); i++) {
      startingAt(sorted, i).ifPresent(next -> addOrMerge(found, next));
    }
    return found;
  }

  private static Optional<Degradation> startingAt(List<Call> sorted, int first) {
    long fromMicros = sorted.get(first).atMicros();
    if (sorted.get(first).good()) {
      return Optional.empty();
    }
    int bad = 0;
    int total = 0;
    long lastBadMicros = 0;
    for (Call call : sorted.subList(first, sorted.size())) {
      if (call.atMicros() - fromMicros > WINDOW_MICROS) {
        break;
      }
      total++;
      if (!call.good()) {
        bad++;
        lastBadMicros = call.atMicros();
      }
    }
    return bad >= MIN_BAD_CALLS && bad >= MIN_BAD_SHARE * total
        ? Optional.of(new Degradation(fromMicros, lastBadMicros))
        : Optional.empty();
  }

  private static void addOrMerge(List<Degradation> found, Degradation next) {
    int lastIndex = found.size() - 1;
    if (lastIndex >= 0 && next.fromMicros <= found.get(lastIndex).toMicros + MAX_GAP_MICROS) {
      Degradation last = found.get(lastIndex);
      found.set(
          lastIndex, new Degradation(last.fromMicros, Math.max(last.toMicros, next.toMicros)));
    } else {
      found.add(next);
    }
  }

  /** Whether a time is within this degradation or at most {@code afterMicros} after its end. */
  boolean includes(long timeMicros, long afterMicros) {
    return timeMicros >= fromMicros && timeMicros <= toMicros + afterMicros;
  }
}
