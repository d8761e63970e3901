package lemondock.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import lemondock.gateway.settings.SettingsException;
import lemondock.gateway.settings.SettingsFile;

/**
 * A day to be played: the fleet's size, its load and what goes wrong; {@code day.schema.json} holds
 * the defaults.
 */
public record ScenarioScript(
    String name,
    long seed,
    double seconds,
    double rate,
    List<String> zones,
    int gatewaysPerZone,
    int readersPerZone,
    int writersPerZone,
    int mixedPerZone,
    int slots,
    double tokenMs,
    double givingUp,
    double withTools,
    List<Trouble> troubles) {

  private static final String[] KINDS = {
    "fast_errors",
    "slow",
    "shared_slow",
    "forget",
    "answer_lost",
    "silent",
    "crash",
    "deploy",
    "zone_loss",
    "gateway_kill",
    "gateways_roll",
    "give_up",
    "stream_break",
    "hot_opening",
    "states_lost",
    "list_fails",
    "list_empty",
    "ageing",
    "neighbour",
    "gateway_freeze",
    "gateway_busy"
  };

  /**
   * One trouble.
   *
   * @param part share of the engines that it hits
   * @param size how bad it is, by kind: a share of requests, or how many times slower
   */
  public record Trouble(String kind, double atMs, double forMs, double part, double size) {}

  /** Reads a script from a file. */
  public static ScenarioScript read(Path file) throws SettingsException {
    return of(file.toString(), SettingsFile.readJson(file));
  }

  private static ScenarioScript of(String file, JsonNode root) throws SettingsException {
    return SettingsFile.bind(
        file, root, "day.schema.json", ScenarioScript.class, ScenarioScript.class);
  }

  /** A script with all defaults and no troubles. */
  public static ScenarioScript quiet() {
    try {
      return of("quiet", JsonNodeFactory.instance.objectNode());
    } catch (SettingsException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The same day with another seed, which draws its traffic. */
  public ScenarioScript seeded(long other) {
    return new ScenarioScript(
        name,
        other,
        seconds,
        rate,
        zones,
        gatewaysPerZone,
        readersPerZone,
        writersPerZone,
        mixedPerZone,
        slots,
        tokenMs,
        givingUp,
        withTools,
        troubles);
  }

  /** The same fleet and traffic over another time and with other troubles. */
  public ScenarioScript with(String other, double time, double pace, List<Trouble> bad) {
    return new ScenarioScript(
        other,
        seed,
        time,
        pace,
        zones,
        gatewaysPerZone,
        readersPerZone,
        writersPerZone,
        mixedPerZone,
        slots,
        tokenMs,
        givingUp,
        withTools,
        bad);
  }

  /** The same day on another fleet, one zone with one gateway. */
  public ScenarioScript fleet(int readers, int writers, int mixed, int places, double token) {
    return new ScenarioScript(
        name,
        seed,
        seconds,
        rate,
        List.of("north"),
        1,
        readers,
        writers,
        mixed,
        places,
        token,
        givingUp,
        withTools,
        troubles);
  }

  /** A bad day drawn from a seed: three to five troubles, some of them at a time. */
  public static ScenarioScript draw(long seed, double seconds) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Trouble> troubles = new ArrayList<>();
    int count = 3 + random.nextInt(3);
    for (int i = 0; i < count; i++) {
      String kind = KINDS[random.nextInt(KINDS.length)];
      double from = seconds * 1000 * (0.1 + 0.6 * random.nextDouble());
      double length = 800 + 2200 * random.nextDouble();
      double size =
          switch (kind) {
            case "slow", "shared_slow", "ageing" -> 2 + 6 * random.nextDouble();
            default -> 0.2 + 0.6 * random.nextDouble();
          };
      troubles.add(new Trouble(kind, from, length, 0.15 + 0.4 * random.nextDouble(), size));
    }
    return quiet().seeded(seed).with("bad-" + seed, seconds, quiet().rate(), List.copyOf(troubles));
  }

  /** A line that tells the troubles. */
  public String describe() {
    StringBuilder text = new StringBuilder();
    for (Trouble t : troubles) {
      text.append(text.isEmpty() ? "" : ", ")
          .append(t.kind())
          .append(" at ")
          .append(Math.round(t.atMs() / 100) / 10.0)
          .append(" s");
    }
    return text.isEmpty() ? "no trouble" : text.toString();
  }

  /** The script as JSON, as a file would hold it. */
  public ObjectNode toJson() {
    return new com.fasterxml.jackson.databind.ObjectMapper().valueToTree(this);
  }
}
