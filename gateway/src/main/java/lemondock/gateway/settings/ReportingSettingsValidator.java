package lemondock.gateway.settings;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** Checks of the settings of reports that a JSON Schema cannot express. */
final class ReportingSettingsValidator {
  private final GatewaySettings.Reporting reporting;
  private final SettingsProblems problems;

  ReportingSettingsValidator(GatewaySettings.Reporting reporting, SettingsProblems problems) {
    this.reporting = reporting;
    this.problems = problems;
  }

  /** Adds what is wrong to the problems. */
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
            pointer + "/name", "expected a name used once, found " + destination.name() + " again");
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

  /** Settings that only some kinds have. */
  private void validateKind(GatewaySettings.Destination destination, String pointer) {
    DestinationKind kind = destination.kind();
    KindCheck check = new KindCheck(kind, pointer);
    check.allow("/address", destination.address(), kind != DestinationKind.COLLECTD_UNIXSOCK);
    check.allow("/path", destination.path(), kind == DestinationKind.COLLECTD_UNIXSOCK);
    check.allow("/prefix", destination.prefix(), kind.isGraphite());
    check.allow("/tags", destination.tags(), kind.isGraphite());
    boolean isCollectd = kind == DestinationKind.COLLECTD;
    check.allow(
        "/security",
        Optional.ofNullable(destination.security())
            .map(CollectdSecurityLevel::settingName)
            .orElse(null),
        isCollectd);
    check.allow("/packetBytes", destination.packetBytes(), isCollectd);
    check.allow(
        "/counters",
        Optional.ofNullable(destination.counters())
            .map(CollectdCounterType::settingName)
            .orElse(null),
        isCollectd);
  }

  private final class KindCheck {
    private final DestinationKind kind;
    private final String pointer;

    KindCheck(DestinationKind kind, String pointer) {
      this.kind = kind;
      this.pointer = pointer;
    }

    /** Adds a problem if the value, null for none, is set though the kind does not have it. */
    void allow(String name, Object value, boolean allowed) {
      if (value != null && !allowed) {
        problems.add(
            pointer + name, "expected none for kind '" + kind.settingName() + "', found " + value);
      }
    }
  }

  /** A user and a password belong to protected packets, and only to them. */
  private void validateCredentials(GatewaySettings.Destination destination, String pointer) {
    CollectdSecurityLevel security = destination.security();
    boolean hasUsername = destination.username() != null;
    boolean hasAuthFile = destination.authFile() != null;
    if (security == null || security == CollectdSecurityLevel.NONE) {
      if (hasUsername || hasAuthFile) {
        problems.add(
            pointer + (hasUsername ? "/username" : "/authFile"),
            "expected none without security 'sign' or 'encrypt', found one");
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
