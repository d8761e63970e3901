package lemondock.gateway.settings;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** Checks the reporting settings for errors that a JSON Schema cannot express. */
final class ReportingSettingsValidator {
  private final GatewaySettings.Reporting reporting;
  private final SettingsProblems problems;

  ReportingSettingsValidator(GatewaySettings.Reporting reporting, SettingsProblems problems) {
    this.reporting = reporting;
    this.problems = problems;
  }

  /** Adds each error found to the problems. */
  void validate() {
    if (reporting.intervalMs() < reporting.tickMs()
        || reporting.intervalMs() / reporting.tickMs() % 1 != 0) {
      problems.add(
          "/reporting/intervalMs",
          "expected a multiple of tickMs ("
              + reporting.tickMs()
              + "), found "
              + reporting.intervalMs());
    }
    if (reporting.listen() != null) {
      problems.checkAddress("/reporting/listen", reporting.listen());
    }
    GatewaySettings.Detector detector = reporting.detector();
    problems.checkAtLeast(
        "/reporting/detector/mostUsual", detector.mostUsual(), "leastUsual", detector.leastUsual());
    validateDestinations();
  }

  private void validateDestinations() {
    Set<String> names = new HashSet<>();
    for (int i = 0; i < reporting.destinations().size(); i++) {
      GatewaySettings.Destination destination = reporting.destinations().get(i);
      String pointer = "/reporting/destinations/" + i;
      if (!names.add(destination.name())) {
        problems.add(
            pointer + "/name", "expected a unique name, found " + destination.name() + " again");
      }
      validateDestination(destination, pointer);
    }
  }

  private void validateDestination(GatewaySettings.Destination destination, String pointer) {
    if (destination.address() != null) {
      problems.checkAddress(pointer + "/address", destination.address());
    }
    validateKind(destination, pointer);
    validateCredentials(destination, pointer);
    problems.checkAtLeast(
        pointer + "/maxBackoffMs",
        destination.maxBackoffMs(),
        "backoffMs",
        destination.backoffMs());
  }

  /** Checks that settings which only some kinds of destination support are unset for the others. */
  private void validateKind(GatewaySettings.Destination destination, String pointer) {
    DestinationKind kind = destination.kind();
    KindValidator kindValidator = new KindValidator(kind, pointer);
    kindValidator.requireUnsetUnless(
        "/address", destination.address(), kind != DestinationKind.COLLECTD_UNIXSOCK);
    kindValidator.requireUnsetUnless(
        "/path", destination.path(), kind == DestinationKind.COLLECTD_UNIXSOCK);
    kindValidator.requireUnsetUnless("/prefix", destination.prefix(), kind.isGraphite());
    kindValidator.requireUnsetUnless("/tags", destination.tags(), kind.isGraphite());
    boolean isCollectd = kind == DestinationKind.COLLECTD;
    kindValidator.requireUnsetUnless(
        "/security",
        Optional.ofNullable(destination.security())
            .map(CollectdSecurityLevel::settingName)
            .orElse(null),
        isCollectd);
    kindValidator.requireUnsetUnless("/packetBytes", destination.packetBytes(), isCollectd);
    kindValidator.requireUnsetUnless(
        "/counters",
        Optional.ofNullable(destination.counters())
            .map(CollectdCounterType::settingName)
            .orElse(null),
        isCollectd);
  }

  private final class KindValidator {
    private final DestinationKind kind;
    private final String pointer;

    KindValidator(DestinationKind kind, String pointer) {
      this.kind = kind;
      this.pointer = pointer;
    }

    /**
     * Adds a problem if the value is set (not null) although the kind of destination does not
     * support it.
     */
    void requireUnsetUnless(String name, Object value, boolean supported) {
      if (value != null && !supported) {
        problems.add(
            pointer + name,
            "expected no value for kind '" + kind.settingName() + "', found " + value);
      }
    }
  }

  /**
   * Checks that a user name and an authentication file are given if packets are signed or
   * encrypted, and only then.
   */
  private void validateCredentials(GatewaySettings.Destination destination, String pointer) {
    CollectdSecurityLevel security = destination.security();
    boolean hasUsername = destination.username() != null;
    boolean hasAuthFile = destination.authFile() != null;
    if (security == null || security == CollectdSecurityLevel.NONE) {
      if (hasUsername || hasAuthFile) {
        problems.add(
            pointer + (hasUsername ? "/username" : "/authFile"),
            "expected no value without security 'sign' or 'encrypt', found one");
      }
    } else if (!hasUsername || !hasAuthFile) {
      problems.add(
          pointer,
          "expected username and authFile with security '"
              + security.settingName()
              + "', found "
              + (hasUsername ? "no authFile" : "no username"));
    }
  }
}
