package lemondock.scenario;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import lemondock.gateway.settings.SettingsException;
import lemondock.gateway.settings.SettingsFile;

/**
 * The script of a scenario: the fleet, its load and the faults. The defaults and bounds are in
 * {@code day.schema.json}.
 *
 * @param seed seeds the random traffic and the choice of what the faults hit
 * @param seconds duration for which clients arrive
 * @param rate client arrivals per second
 * @param slots requests that a mixed engine runs in parallel; readers run half as many, writers
 *     twice as many
 * @param tokenMs time between two tokens of an answer
 * @param abandonShare share of calls that their client abandons
 * @param toolShare share of calls that may lead to tool calls
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
    @JsonProperty("givingUp") double abandonShare,
    @JsonProperty("withTools") double toolShare,
    @JsonProperty("troubles") List<ScriptedFault> faults) {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Reads a script from a file. */
  public static ScenarioScript read(Path file) throws SettingsException {
    return bind(file.toString(), SettingsFile.readJson(file));
  }

  private static ScenarioScript bind(String file, JsonNode root) throws SettingsException {
    return SettingsFile.bind(
        file, root, "day.schema.json", ScenarioScript.class, ScenarioScript.class);
  }

  /** A script with the defaults of the schema, which has no faults. */
  public static ScenarioScript withDefaults() {
    try {
      return bind("quiet", JsonNodeFactory.instance.objectNode());
    } catch (SettingsException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The same scenario with another seed. */
  public ScenarioScript withSeed(long newSeed) {
    return new ScenarioScript(
        name,
        newSeed,
        seconds,
        rate,
        zones,
        gatewaysPerZone,
        readersPerZone,
        writersPerZone,
        mixedPerZone,
        slots,
        tokenMs,
        abandonShare,
        toolShare,
        faults);
  }

  /** The same fleet and seed with another name, load and faults. */
  public ScenarioScript withLoad(
      String newName, double newSeconds, double newRate, List<ScriptedFault> newFaults) {
    return new ScenarioScript(
        newName,
        seed,
        newSeconds,
        newRate,
        zones,
        gatewaysPerZone,
        readersPerZone,
        writersPerZone,
        mixedPerZone,
        slots,
        tokenMs,
        abandonShare,
        toolShare,
        newFaults);
  }

  /** The same load and faults on another fleet of one zone with one gateway. */
  public ScenarioScript withFleet(
      int readers, int writers, int mixed, int newSlots, double newTokenMs) {
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
        newSlots,
        newTokenMs,
        abandonShare,
        toolShare,
        faults);
  }

  /** Draws a scenario from a seed: three to five faults, which may overlap in time. */
  public static ScenarioScript draw(long seed, double seconds) {
    SplittableRandom random = new SplittableRandom(seed);
    List<ScriptedFault> faults = new ArrayList<>();
    int count = 3 + random.nextInt(3);
    for (int i = 0; i < count; i++) {
      faults.add(drawFault(random, seconds));
    }
    ScenarioScript defaults = withDefaults();
    return defaults
        .withSeed(seed)
        .withLoad("bad-" + seed, seconds, defaults.rate(), List.copyOf(faults));
  }

  /** The order of the draws must not change: it determines the scenario of a seed. */
  private static ScriptedFault drawFault(SplittableRandom random, double seconds) {
    FaultKind[] kinds = FaultKind.values();
    FaultKind kind = kinds[random.nextInt(kinds.length)];
    double atMs = seconds * 1000 * (0.1 + 0.6 * random.nextDouble());
    double forMs = 800 + 2200 * random.nextDouble();
    double size =
        switch (kind) {
          case SLOW, SHARED_SLOW, AGEING -> 2 + 6 * random.nextDouble();
          default -> 0.2 + 0.6 * random.nextDouble();
        };
    double part = 0.15 + 0.4 * random.nextDouble();
    return new ScriptedFault(kind, atMs, forMs, part, size);
  }

  /** The faults and their start times on one line. */
  public String describe() {
    if (faults.isEmpty()) {
      return "no trouble";
    }
    return faults.stream()
        .map(
            fault ->
                fault.kind().scriptName() + " at " + Math.round(fault.atMs() / 100) / 10.0 + " s")
        .collect(Collectors.joining(", "));
  }

  /** The script as JSON, in the form of a script file. */
  public ObjectNode toJson() {
    return MAPPER.valueToTree(this);
  }
}
