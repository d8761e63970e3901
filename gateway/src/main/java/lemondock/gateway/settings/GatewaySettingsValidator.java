package lemondock.gateway.settings;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import lemondock.policy.Idempotency;
import lemondock.policy.ServerRole;

/** Checks a gateway's settings for errors that a JSON Schema cannot express. */
final class GatewaySettingsValidator {
  private final GatewaySettings settings;
  private final SettingsProblems problems;

  GatewaySettingsValidator(GatewaySettings settings, SettingsProblems problems) {
    this.settings = settings;
    this.problems = problems;
  }

  /** Adds each error found to the problems. */
  void validate() {
    if (settings.number() >= settings.gateways()) {
      problems.add(
          "/number",
          "expected less than /gateways (" + settings.gateways() + "), found " + settings.number());
    }
    validateClasses();
    validateKinds();
    problems.checkAddress("/front/listen", settings.front().listen());
    if (settings.discovery().address() != null) {
      problems.checkAddress("/discovery/address", settings.discovery().address());
    }
    validateOverload();
    new ReportingSettingsValidator(settings.reporting(), problems).validate();
  }

  private void validateClasses() {
    Set<String> names = new HashSet<>();
    for (int i = 0; i < settings.classes().size(); i++) {
      GatewaySettings.ClassSettings requestClass = settings.classes().get(i);
      String pointer = "/classes/" + i;
      if (!names.add(requestClass.name())) {
        problems.add(
            pointer + "/name", "expected a unique name, found " + requestClass.name() + " again");
      }
      problems.checkAtLeast(
          pointer + "/deadlineMs", requestClass.deadlineMs(), "aimMs", requestClass.aimMs());
      if (requestClass.repeat() == Idempotency.IDEMPOTENCY_KEY
          && requestClass.repeatWindowMs() <= 0) {
        problems.add(
            pointer + "/repeatWindowMs",
            "expected a time above 0 with repeat 'keyed', found " + requestClass.repeatWindowMs());
      }
    }
  }

  private void validateKinds() {
    List<GatewaySettings.Kind> kinds = settings.kinds();
    Set<String> names = new HashSet<>();
    for (int i = 0; i < kinds.size(); i++) {
      String name = kinds.get(i).name();
      if (!names.add(name)) {
        problems.add("/kinds/" + i + "/name", "expected a unique name, found " + name + " again");
      }
    }
    boolean hasReader = kinds.stream().anyMatch(kind -> kind.role() != ServerRole.WRITER);
    boolean hasWriter = kinds.stream().anyMatch(kind -> kind.role() != ServerRole.READER);
    if (!hasReader || !hasWriter) {
      problems.add(
          "/kinds",
          "expected kinds that can read and kinds that can write, found "
              + (hasReader ? "no writer" : "no reader"));
    }
  }

  private void validateOverload() {
    GatewaySettings.Overload overload = settings.overload();
    problems.checkAtLeast(
        "/overload/mostAdviceMs", overload.mostAdviceMs(), "adviceMs", overload.adviceMs());
    if (overload.hardPart() <= overload.softPart()) {
      problems.add(
          "/overload/hardPart",
          "expected more than softPart ("
              + overload.softPart()
              + "), found "
              + overload.hardPart());
    }
  }
}
