package lemondock.scenario;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Formats the results of scenarios as a line of text, as JSON and as an HTML page. */
public final class ScenarioReport {
  private static final Map<Integer, String> RULES =
      Map.of(
          1, "one final answer, in time, nothing after",
          2, "no effect twice",
          3, "drains kept",
          4, "no cold server pushed over",
          5, "nothing left held");

  private static final String PAGE_HEAD =
      "<!doctype html><meta charset=\"utf-8\"><title>Bad"
          + " days</title><style>body{font:15px"
          + " sans-serif;max-width:72em;margin:2em auto}td,th{padding:.3em"
          + " .7em;text-align:left;vertical-align:top;border-bottom:1px solid"
          + " #ccc}.bad{color:#a00;font-weight:bold}</style><h1>Bad days on"
          + " loopback, stand-in"
          + " engines</h1><table><tr><th>day<th>troubles<th>rules<th>worth in"
          + " time<th>calls</tr>";

  private ScenarioReport() {}

  /** One scenario as a line of text. */
  public static String line(ScenarioResult result) {
    AuditResult audit = result.audit();
    return String.format(
        Locale.ROOT,
        "%s seed %d: %s; worth in time %.3f; %d calls %s; %s",
        result.script().name(),
        result.script().seed(),
        audit.allRulesKept()
            ? "rules kept"
            : "RULES BROKEN " + audit.violatedRules() + " " + audit.violations(),
        result.valueInTimeShares().getOrDefault("all", 0.0),
        result.callCount(),
        result.outcomeCounts(),
        result.script().describe());
  }

  /** All scenarios as indented JSON. */
  public static String json(List<ScenarioResult> results) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    root.put("kept", results.stream().allMatch(result -> result.audit().allRulesKept()));
    root.put("engines", "stand-in");
    ArrayNode days = root.putArray("days");
    results.forEach(result -> putResult(days.addObject(), result));
    return root.toPrettyString() + "\n";
  }

  private static void putResult(ObjectNode day, ScenarioResult result) {
    day.put("name", result.script().name())
        .put("seed", result.script().seed())
        .put("kept", result.audit().allRulesKept())
        .put("calls", result.callCount())
        .put("engineRequests", result.engineRequests())
        .put("seconds", result.seconds());
    ObjectNode rules = day.putObject("rules");
    result.audit().violations().forEach((rule, violations) -> putRule(rules, rule, violations));
    ObjectNode shares = day.putObject("worthInTime");
    result.valueInTimeShares().forEach(shares::put);
    ObjectNode outcomes = day.putObject("endings");
    result.outcomeCounts().forEach(outcomes::put);
    day.set("script", result.script().toJson());
  }

  private static void putRule(ObjectNode rules, int rule, List<String> violations) {
    ObjectNode node =
        rules
            .putObject(Integer.toString(rule))
            .put("text", RULES.get(rule))
            .put("kept", violations.isEmpty());
    ArrayNode breaches = node.putArray("breaches");
    violations.forEach(breaches::add);
  }

  /** All scenarios as an HTML page. */
  public static String page(List<ScenarioResult> results) {
    StringBuilder html = new StringBuilder(PAGE_HEAD);
    results.forEach(result -> appendRow(html, result));
    return html.append("</table>\n").toString();
  }

  private static void appendRow(StringBuilder html, ScenarioResult result) {
    html.append("<tr><td>")
        .append(escape(result.script().name()))
        .append(", seed ")
        .append(result.script().seed())
        .append("<td>")
        .append(escape(result.script().describe()))
        .append("<td>");
    if (result.audit().allRulesKept()) {
      html.append("all five kept");
    }
    result
        .audit()
        .violations()
        .forEach(
            (rule, violations) ->
                violations.forEach(violation -> appendViolation(html, rule, violation)));
    html.append("<td>");
    result
        .valueInTimeShares()
        .forEach(
            (name, share) ->
                html.append(escape(name))
                    .append(' ')
                    .append(String.format(Locale.ROOT, "%.3f", share))
                    .append("<br>"));
    html.append("<td>")
        .append(result.callCount())
        .append("<br>")
        .append(escape(result.outcomeCounts().toString()))
        .append("</tr>");
  }

  private static void appendViolation(StringBuilder html, int rule, String violation) {
    html.append("<div class=\"bad\">")
        .append(rule)
        .append(" (")
        .append(RULES.get(rule))
        .append("): ")
        .append(escape(violation))
        .append("</div>");
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
