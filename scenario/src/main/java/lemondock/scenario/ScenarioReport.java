package lemondock.scenario;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Writes down what came of days: a line, JSON, and a page. */
public final class ScenarioReport {
  private static final Map<Integer, String> RULES =
      Map.of(
          1,
          "one final answer, in time, nothing after",
          2,
          "no effect twice",
          3,
          "drains kept",
          4,
          "no cold server pushed over",
          5,
          "nothing left held");

  private ScenarioReport() {}

  /** A line for a day. */
  public static String line(ScenarioResult r) {
    return String.format(
        Locale.ROOT,
        "%s seed %d: %s; worth in time %.3f; %d calls %s; %s",
        r.script().name(),
        r.script().seed(),
        r.audit().allRulesKept()
            ? "rules kept"
            : "RULES BROKEN " + r.audit().violatedRules() + " " + r.audit().violations(),
        r.valueInTimeShares().getOrDefault("all", 0.0),
        r.callCount(),
        r.outcomeCounts(),
        r.script().describe());
  }

  /** All of it. */
  public static String json(List<ScenarioResult> results) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    root.put("kept", results.stream().allMatch(r -> r.audit().allRulesKept()));
    root.put("engines", "stand-in");
    ArrayNode days = root.putArray("days");
    for (ScenarioResult r : results) {
      ObjectNode day =
          days.addObject()
              .put("name", r.script().name())
              .put("seed", r.script().seed())
              .put("kept", r.audit().allRulesKept())
              .put("calls", r.callCount())
              .put("engineRequests", r.engineRequests())
              .put("seconds", r.seconds());
      ObjectNode rules = day.putObject("rules");
      r.audit()
          .violations()
          .forEach(
              (rule, found) -> {
                ObjectNode one =
                    rules
                        .putObject(Integer.toString(rule))
                        .put("text", RULES.get(rule))
                        .put("kept", found.isEmpty());
                ArrayNode breaches = one.putArray("breaches");
                found.forEach(breaches::add);
              });
      ObjectNode service = day.putObject("worthInTime");
      r.valueInTimeShares().forEach(service::put);
      ObjectNode endings = day.putObject("endings");
      r.outcomeCounts().forEach(endings::put);
      day.set("script", r.script().toJson());
    }
    return root.toPrettyString() + "\n";
  }

  /** A page for a person. */
  public static String page(List<ScenarioResult> results) {
    StringBuilder html =
        new StringBuilder(
            "<!doctype html><meta charset=\"utf-8\"><title>Bad"
                + " days</title><style>body{font:15px"
                + " sans-serif;max-width:72em;margin:2em auto}td,th{padding:.3em"
                + " .7em;text-align:left;vertical-align:top;border-bottom:1px solid"
                + " #ccc}.bad{color:#a00;font-weight:bold}</style><h1>Bad days on"
                + " loopback, stand-in"
                + " engines</h1><table><tr><th>day<th>troubles<th>rules<th>worth in"
                + " time<th>calls</tr>");
    for (ScenarioResult r : results) {
      html.append("<tr><td>")
          .append(escape(r.script().name()))
          .append(", seed ")
          .append(r.script().seed())
          .append("<td>")
          .append(escape(r.script().describe()))
          .append("<td>");
      if (r.audit().allRulesKept()) {
        html.append("all five kept");
      }
      r.audit()
          .violations()
          .forEach(
              (rule, found) ->
                  found.forEach(
                      f ->
                          html.append("<div class=\"bad\">")
                              .append(rule)
                              .append(" (")
                              .append(RULES.get(rule))
                              .append("): ")
                              .append(escape(f))
                              .append("</div>")));
      html.append("<td>");
      r.valueInTimeShares()
          .forEach(
              (name, worth) ->
                  html.append(escape(name))
                      .append(' ')
                      .append(String.format(Locale.ROOT, "%.3f", worth))
                      .append("<br>"));
      html.append("<td>")
          .append(r.callCount())
          .append("<br>")
          .append(escape(r.outcomeCounts().toString()))
          .append("</tr>");
    }
    return html.append("</table>\n").toString();
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
