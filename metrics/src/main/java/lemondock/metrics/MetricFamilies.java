package lemondock.metrics;

import java.util.List;
import lemondock.metrics.MetricField.Kind;

/**
 * The metric families of a gateway. The page for operators ({@link MetricCatalogue}) and collectd's
 * {@code types.db} are generated from this list. Names of families, labels and fields and their
 * help texts are part of the interface to collectors and operators; where they use an older word
 * than the code, the constant has the term of the code.
 */
public final class MetricFamilies {
  /** Decimal places of {@link #PRIORITY_WEIGHT_SCALE}. */
  private static final int PRIORITY_WEIGHT_DECIMALS = 6;

  private static final int THOUSANDTHS = 3;
  private static final List<String> REQUEST_LABELS = List.of("class", "zone", "tenant");
  private static final List<String> SERVER_LABELS = List.of("role", "zone");

  /** Priority weights are recorded as multiples of one part in so many. */
  public static final double PRIORITY_WEIGHT_SCALE = 1e6;

  /** Priority weight of requests by their result. */
  public static final MetricFamily PRIORITY_WEIGHT =
      MetricFamily.ofFields(
          "worth",
          REQUEST_LABELS,
          "worth of requests; service is in_time over asked, summed over all gateways",
          priorityWeightCounter("asked", "of requests taken that no client had marked as a repeat"),
          priorityWeightCounter(
              "asked_again", "of requests taken that a client had marked as a repeat"),
          priorityWeightCounter("in_time", "answered within the wanted time"),
          priorityWeightCounter(
              "late", "earned by answers after the wanted time, at the class's late worth"));

  /** Requests by their outcome. */
  public static final MetricFamily REQUESTS =
      MetricFamily.ofFields(
          "requests",
          REQUEST_LABELS,
          "requests of clients by how they ended",
          counter("taken", "taken by this gateway"),
          counter("repeats", "of these, marked as repeats"),
          counter("served", "answered whole"),
          counter("refused", "turned away, nothing ran"),
          counter("failed", "ended without an answer"),
          counter("left", "given up by their clients"));

  /** Requests that met and that missed the latency objective: the service level indicator. */
  public static final MetricFamily SERVICE_LEVEL =
      MetricFamily.ofFields(
          "verdicts",
          List.of("class", "zone"),
          "requests by whether they got what was wanted; what the detector of falls sees",
          counter("good", "answered within the wanted time"),
          counter("bad", "lost or late; counted as soon as that is sure"));

  /** Attempts at servers by their outcome. */
  public static final MetricFamily ATTEMPTS =
      MetricFamily.ofFields(
          "attempts",
          SERVER_LABELS,
          "attempts at servers by how they ended",
          counter("sent", "sent"),
          counter("ok", "answered whole"),
          counter("read", "prompt read, state kept"),
          counter("error", "failed by the server"),
          counter("full", "turned away by the server"),
          counter("timeout", "no answer in the attempt's time"),
          counter("connect_failed", "no connection"),
          counter("reset", "connection broken"),
          counter("cancelled", "called off"),
          counter(
              "moot",
              "never sent: the request had ended, the server was unknown, or the"
                  + " gateway lacked a connection"));

  /** Tool calls relayed to clients while an answer is streamed. */
  public static final MetricFamily TOOL_CALLS =
      MetricFamily.ofFields(
          "tools",
          List.of("class"),
          "tool calls relayed to clients",
          counter("relayed", "sent to a client"),
          counter("answered", "results that came back"),
          counter("lost", "withdrawn: no result in time, or the call ended"));

  /** States reserved at prefill engines. */
  public static final MetricFamily RESERVED_STATES =
      MetricFamily.ofFields(
          "held",
          List.of("zone"),
          "states that wait at readers",
          counter("made", "left by reads"),
          counter("fetched", "taken by writers"),
          counter("let_go", "let go unused"),
          gauge("now", "1", "waiting now"));

  /** How long states stayed reserved. */
  public static final MetricFamily RESERVED_STATE_DURATION =
      MetricFamily.durationSummary(
          "held_time", List.of("zone"), "how long states waited at readers");

  /** Time from arrival to the first token. */
  public static final MetricFamily TIME_TO_FIRST_TOKEN =
      MetricFamily.durationSummary(
          "first_token", List.of("class"), "from a request's arrival to its first token");

  /** Mean time between the tokens of an answer. */
  public static final MetricFamily TIME_PER_OUTPUT_TOKEN =
      MetricFamily.durationSummary(
          "token_pace",
          List.of("class"),
          "mean time between the tokens of an answer, waits for tools left out");

  /** Time from arrival to the end of a request. */
  public static final MetricFamily REQUEST_DURATION =
      MetricFamily.durationSummary(
          "whole_time", List.of("class"), "from a request's arrival to its end");

  /** How late the decision loop runs its timers. */
  public static final MetricFamily LOOP_LAG =
      MetricFamily.durationSummary(
          "loop_lag",
          List.of(),
          "how late the decision loop ran a timer that it sets itself ten times a" + " second");

  /** Load shedding at the gateway's own limit, and stalls of its process. */
  public static final MetricFamily OVERLOAD =
      MetricFamily.ofFields(
          "overload",
          List.of(),
          "the gateway at its own limit, and times for which its process did not run",
          new MetricField(
              "share",
              Kind.GAUGE,
              THOUSANDTHS,
              "1",
              "part of the requests that is let in; 1 while nothing is refused for" + " it"),
          counter("refused", "requests refused because the gateway is late"),
          counter("stalls", "times for which the process did not run"),
          new MetricField("stalled", Kind.COUNTER, THOUSANDTHS, "ms", "their sum"));

  /** What is in flight in the gateway. */
  public static final MetricFamily GATEWAY =
      MetricFamily.ofFields(
          "gateway",
          List.of(),
          "what the gateway has in hand now",
          gauge("calls", "1", "clients' requests under way"),
          gauge("legs", "1", "reads and writes under way for them"),
          gauge("sessions", "1", "clients' sessions open"),
          gauge("streams", "1", "event streams of sessions"),
          gauge("relayed", "1", "tool calls that wait for their result"),
          gauge("servers", "1", "servers listed"),
          gauge("uptime", "s", "since the start"));

  /** Queue and capacity as the router sees them. */
  public static final MetricFamily ROUTER =
      MetricFamily.ofFields(
          "module",
          List.of(),
          "what the routing module sees now",
          gauge("parked", "1", "requests that wait for room"),
          gauge("tokens_under_way", "1", "tokens of prompts and answers under way"),
          gauge("room", "1", "tokens that the module lets be under way"));

  /** Servers by their state as the router sees them. */
  public static final MetricFamily SERVERS =
      MetricFamily.ofFields(
          "servers",
          SERVER_LABELS,
          "servers as the routing module sees them now",
          gauge("ready", "1", "listed and ready"),
          gauge("away", "1", "draining or gone"),
          gauge("cold", "1", "started a short time ago"),
          gauge("avoided", "1", "judged unhealthy"));

  /** Degradations of service as the anomaly detector sees them. */
  public static final MetricFamily DEGRADATIONS =
      MetricFamily.ofFields(
          "fall",
          List.of("class", "zone"),
          "the detector's word; labels 'all' stand for all classes together",
          gauge("now", "1", "1 while service has fallen, else 0"),
          counter("begun", "falls told so far"),
          new MetricField(
              "evidence",
              Kind.GAUGE,
              THOUSANDTHS,
              "1",
              "how near to telling of a fall, 1 and above tells"));

  /** The export of metrics itself, by destination. */
  public static final MetricFamily EXPORTS =
      MetricFamily.ofFields(
          "report",
          List.of("destination"),
          "the reports themselves",
          counter("snapshots", "handed to the destination whole"),
          counter("dropped", "snapshots dropped, oldest first, for want of room"),
          counter("resent", "snapshots sent again after a break"),
          counter("bytes", "bytes handed over"),
          counter("packets", "datagrams handed over"),
          counter("lost", "datagrams that the system would not take"),
          counter("connects", "connections made"),
          counter("failures", "connections that failed or broke"),
          counter("ignored", "bytes that the collector sent back"),
          gauge("waiting", "1", "snapshots not yet sent"));

  /** Label values beyond their cardinality limit. */
  public static final MetricFamily LABEL_OVERFLOWS =
      MetricFamily.ofFields(
          "bounds",
          List.of("dimension"),
          "labels beyond their bound",
          counter("other", "counts that went to the label 'other'"));

  /** Gauges of the process from Micrometer's binders. */
  public static final MetricFamily PROCESS =
      MetricFamily.ofFields(
          "process",
          List.of("meter"),
          "gauges of the process from Micrometer's binders (memory, collector, threads,"
              + " files)",
          new MetricField("value", Kind.GAUGE, THOUSANDTHS, "as the meter's", "the meter's value"));

  /** The clock that gives exported snapshots their timestamps. */
  public static final MetricFamily EXPORT_CLOCK =
      MetricFamily.ofFields(
          "clock",
          List.of(),
          "the clock that reports are stamped with",
          new MetricField(
              "ahead",
              Kind.GAUGE,
              THOUSANDTHS,
              "s",
              "stamps run ahead of the wall clock, after it was set back"),
          counter("set_back", "how often the wall clock went back"));

  /** All families, in the order of the pages for operators. */
  public static final List<MetricFamily> ALL =
      List.of(
          PRIORITY_WEIGHT,
          REQUESTS,
          SERVICE_LEVEL,
          DEGRADATIONS,
          ATTEMPTS,
          SERVERS,
          ROUTER,
          TOOL_CALLS,
          RESERVED_STATES,
          RESERVED_STATE_DURATION,
          TIME_TO_FIRST_TOKEN,
          TIME_PER_OUTPUT_TOKEN,
          REQUEST_DURATION,
          LOOP_LAG,
          OVERLOAD,
          GATEWAY,
          EXPORTS,
          LABEL_OVERFLOWS,
          EXPORT_CLOCK,
          PROCESS);

  private MetricFamilies() {}

  private static MetricField priorityWeightCounter(String name, String help) {
    return new MetricField(name, Kind.COUNTER, PRIORITY_WEIGHT_DECIMALS, "worth", help);
  }

  private static MetricField counter(String name, String help) {
    return new MetricField(name, Kind.COUNTER, 0, "1", help);
  }

  private static MetricField gauge(String name, String unit, String help) {
    return new MetricField(name, Kind.GAUGE, 0, unit, help);
  }
}
