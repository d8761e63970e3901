package lemondock.metrics;

import java.util.List;
import lemondock.metrics.MetricField.Kind;

/**
 * The metric families of a gateway. The page for operators ({@link MetricCatalogue}) and collectd's
 * {@code types.db} are generated from this list. The names of families, labels and fields are part
 * of the interface to collectors and operators and therefore do not change; where such a name
 * differs from the term that the code uses, the Java constant has the term of the code.
 */
public final class MetricFamilies {
  /** Decimal places of {@link #PRIORITY_WEIGHT_SCALE}. */
  private static final int PRIORITY_WEIGHT_DECIMALS = 6;

  /** Decimal places of values that are recorded in thousandths of their unit. */
  private static final int THOUSANDTHS = 3;

  private static final List<String> REQUEST_LABELS = List.of("class", "zone", "tenant");
  private static final List<String> SERVER_LABELS = List.of("role", "zone");

  /** Recorded units per unit of priority weight: weights are recorded in millionths. */
  public static final double PRIORITY_WEIGHT_SCALE = 1e6;

  /** Priority weight of requests by their outcome. */
  public static final MetricFamily PRIORITY_WEIGHT =
      MetricFamily.ofFields(
          "worth",
          REQUEST_LABELS,
          "priority weight of requests; service level: in_time over asked, summed over all"
              + " gateways",
          priorityWeightCounter(
              "asked", "received requests that their client did not mark as a retry"),
          priorityWeightCounter(
              "asked_again", "received requests that their client marked as a retry"),
          priorityWeightCounter(
              "in_time",
              "requests answered with first token and token pace within their objectives"),
          priorityWeightCounter(
              "late",
              "requests answered late but not too slowly, at their class's reduced weight"
                  + " (lateWorth)"));

  /** Requests by their outcome. */
  public static final MetricFamily REQUESTS =
      MetricFamily.ofFields(
          "requests",
          REQUEST_LABELS,
          "client requests by their outcome",
          counter("taken", "received by this gateway"),
          counter("repeats", "received requests that their client marked as retries"),
          counter("served", "answered completely"),
          counter("refused", "rejected, nothing ran"),
          counter("failed", "ended without a complete answer"),
          counter("left", "abandoned by their clients, or cancelled as the gateway shut down"));

  /** Requests that met and that missed the latency objective: the service level indicator. */
  public static final MetricFamily SERVICE_LEVEL =
      MetricFamily.ofFields(
          "verdicts",
          List.of("class", "zone"),
          "requests by whether they met their latency objective; the input of the degradation"
              + " detector",
          counter(
              "good",
              "first token, or end of an answer without text, within the latency objective"),
          counter("bad", "failed or late; counted as soon as that is certain"));

  /** Attempts at servers by their outcome. */
  public static final MetricFamily ATTEMPTS =
      MetricFamily.ofFields(
          "attempts",
          SERVER_LABELS,
          "attempts at servers by their outcome",
          counter("sent", "attempts sent"),
          counter("ok", "answered completely"),
          counter("read", "prefill completed, KV-cache state reserved"),
          counter("error", "failed by the server"),
          counter("full", "rejected by the server"),
          counter("timeout", "no answer within the attempt's timeout"),
          counter("connect_failed", "connection could not be opened"),
          counter("reset", "connection broken"),
          counter("cancelled", "cancelled by the router"),
          counter(
              "moot",
              "not sent: the request had ended, the server was unknown, or no connection was"
                  + " free"));

  /** Tool calls relayed to clients while an answer is streamed. */
  public static final MetricFamily TOOL_CALLS =
      MetricFamily.ofFields(
          "tools",
          List.of("class"),
          "tool calls relayed to clients",
          counter("relayed", "sent to a client"),
          counter("answered", "answered by a client with a result"),
          counter("lost", "withdrawn because no result arrived in time or the call ended"));

  /** States reserved at prefill engines. */
  public static final MetricFamily RESERVED_STATES =
      MetricFamily.ofFields(
          "held",
          List.of("zone"),
          "KV-cache states reserved at readers (prefill engines)",
          counter("made", "reserved by completed prefills"),
          counter("fetched", "fetched by writers (decode engines)"),
          counter("let_go", "released unused"),
          gauge("now", "1", "reserved now"));

  /** How long states stayed reserved. */
  public static final MetricFamily RESERVED_STATE_DURATION =
      MetricFamily.durationSummary(
          "held_time", List.of("zone"), "how long KV-cache states stayed reserved at readers");

  /** Time from arrival to the first token. */
  public static final MetricFamily TIME_TO_FIRST_TOKEN =
      MetricFamily.durationSummary(
          "first_token", List.of("class"), "time from a request's arrival to its first token");

  /** Mean time between the tokens of an answer. */
  public static final MetricFamily TIME_PER_OUTPUT_TOKEN =
      MetricFamily.durationSummary(
          "token_pace",
          List.of("class"),
          "mean time between the tokens of an answer, without the time spent waiting for tools");

  /** Time from arrival to the end of a request. */
  public static final MetricFamily REQUEST_DURATION =
      MetricFamily.durationSummary(
          "whole_time", List.of("class"), "time from a request's arrival to its end");

  /** How late the decision loop runs its timers. */
  public static final MetricFamily LOOP_LAG =
      MetricFamily.durationSummary(
          "loop_lag",
          List.of(),
          "how late the decision loop ran a timer that is due ten times a second");

  /** Load shedding at the gateway's own limit, and stalls of its process. */
  public static final MetricFamily OVERLOAD =
      MetricFamily.ofFields(
          "overload",
          List.of(),
          "load shedding at the gateway's own capacity limit, and stalls of its process",
          new MetricField(
              "share",
              Kind.GAUGE,
              THOUSANDTHS,
              "1",
              "share of the requests that is admitted; 1 while no load is shed"),
          counter("refused", "requests rejected because the gateway is overloaded"),
          counter("stalls", "stalls: periods in which the process did not run"),
          new MetricField(
              "stalled", Kind.COUNTER, THOUSANDTHS, "ms", "total duration of the stalls"));

  /** What is in flight in the gateway. */
  public static final MetricFamily GATEWAY =
      MetricFamily.ofFields(
          "gateway",
          List.of(),
          "what is in flight in the gateway now",
          gauge("calls", "1", "client requests in flight"),
          gauge("legs", "1", "prefill and decode requests in flight for them"),
          gauge("sessions", "1", "open client sessions"),
          gauge("streams", "1", "open event streams of sessions"),
          gauge("relayed", "1", "tool calls relayed to clients that have no result yet"),
          gauge("servers", "1", "servers in the endpoint list"),
          gauge("uptime", "s", "time since the gateway started"));

  /** Queue and capacity of the router. */
  public static final MetricFamily ROUTER =
      MetricFamily.ofFields(
          "module",
          List.of(),
          "queue and capacity of the router now",
          gauge("parked", "1", "requests queued for capacity"),
          gauge("tokens_under_way", "1", "tokens of prompts and answers in flight"),
          gauge("room", "1", "capacity limit: tokens that the router allows in flight"));

  /** Servers by their state in the router. */
  public static final MetricFamily SERVERS =
      MetricFamily.ofFields(
          "servers",
          SERVER_LABELS,
          "servers by their state in the router now",
          gauge("ready", "1", "in the endpoint list and ready"),
          gauge("away", "1", "draining or gone"),
          gauge("cold", "1", "ready but still warming up"),
          gauge("avoided", "1", "ready but considered unhealthy by this gateway"));

  /** Degradations of service found by the anomaly detector. */
  public static final MetricFamily DEGRADATIONS =
      MetricFamily.ofFields(
          "fall",
          List.of("class", "zone"),
          "degradations found by the detector; the class 'all' stands for all classes of a zone"
              + " together",
          gauge("now", "1", "1 while service is degraded, otherwise 0"),
          counter("begun", "degradations that have started"),
          new MetricField(
              "evidence",
              Kind.GAUGE,
              THOUSANDTHS,
              "1",
              "evidence of a degradation: 0 is none, from 1 on service counts as degraded"));

  /** The export of metrics itself, by destination. */
  public static final MetricFamily EXPORTS =
      MetricFamily.ofFields(
          "report",
          List.of("destination"),
          "export of metrics to each destination",
          counter("snapshots", "snapshots sent completely"),
          counter("dropped", "snapshots dropped, oldest first, because the buffer was full"),
          counter("resent", "snapshots sent again after a connection broke"),
          counter("bytes", "bytes handed to the operating system or queued on the connection"),
          counter("packets", "datagrams handed to the operating system"),
          counter("lost", "datagrams that the operating system did not accept"),
          counter("connects", "connections opened"),
          counter("failures", "connections that failed or broke"),
          counter("ignored", "bytes that the collector sent, which are ignored"),
          gauge("waiting", "1", "snapshots waiting to be sent"));

  /** Label values beyond their cardinality limit. */
  public static final MetricFamily LABEL_OVERFLOWS =
      MetricFamily.ofFields(
          "bounds",
          List.of("dimension"),
          "label values beyond their limit, and gauge readings that are not finite",
          counter(
              "other",
              "counts under the label value 'other'; for the dimension not_finite, readings left"
                  + " out"));

  /** Gauges of the process from Micrometer's binders. */
  public static final MetricFamily PROCESS =
      MetricFamily.ofFields(
          "process",
          List.of("meter"),
          "gauges of the process from Micrometer's binders (memory, garbage collector, threads,"
              + " files)",
          new MetricField(
              "value", Kind.GAUGE, THOUSANDTHS, "unit of the meter", "value of the meter"));

  /** The clock that gives exported snapshots their timestamps. */
  public static final MetricFamily EXPORT_CLOCK =
      MetricFamily.ofFields(
          "clock",
          List.of(),
          "the clock that gives exported snapshots their timestamps",
          new MetricField(
              "ahead",
              Kind.GAUGE,
              THOUSANDTHS,
              "s",
              "how far timestamps are ahead of the wall clock after it was set back"),
          counter("set_back", "how often the wall clock was set back"));

  /** All families, in the order in which {@link MetricCatalogue} lists them. */
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
