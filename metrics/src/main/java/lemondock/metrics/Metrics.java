package lemondock.metrics;

import java.util.List;
import lemondock.metrics.Field.Kind;

/**
 * Everything that a gateway reports, and the one list of it: the pages for operators and collectd's
 * {@code types.db} are written from here ({@link MetricCatalogue}).
 */
public final class Metrics {
  private static final int WORTH_PLACES = 6;
  private static final List<String> BY_REQUEST = List.of("class", "zone", "tenant");
  private static final List<String> BY_SERVER = List.of("role", "zone");

  /** Parts of worth that make one. */
  public static final double WORTH_ONE = 1e6;

  /** Worth, by what became of it. */
  public static final Family WORTH =
      Family.values(
          "worth",
          BY_REQUEST,
          "worth of requests; service is in_time over asked, summed over all gateways",
          worth("asked", "of requests taken that no client had marked as a repeat"),
          worth("asked_again", "of requests taken that a client had marked as a repeat"),
          worth("in_time", "answered within the wanted time"),
          worth("late", "earned by answers after the wanted time, at the class's late worth"));

  /** Requests, by how they ended. */
  public static final Family REQUESTS =
      Family.values(
          "requests",
          BY_REQUEST,
          "requests of clients by how they ended",
          counter("taken", "taken by this gateway"),
          counter("repeats", "of these, marked as repeats"),
          counter("served", "answered whole"),
          counter("refused", "turned away, nothing ran"),
          counter("failed", "ended without an answer"),
          counter("left", "given up by their clients"));

  /** Requests, by whether service was good. */
  public static final Family VERDICTS =
      Family.values(
          "verdicts",
          List.of("class", "zone"),
          "requests by whether they got what was wanted; what the detector of falls sees",
          counter("good", "answered within the wanted time"),
          counter("bad", "lost or late; counted as soon as that is sure"));

  /** Attempts at servers. */
  public static final Family ATTEMPTS =
      Family.values(
          "attempts",
          BY_SERVER,
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

  /** Tool calls in mid-stream. */
  public static final Family TOOLS =
      Family.values(
          "tools",
          List.of("class"),
          "tool calls relayed to clients",
          counter("relayed", "sent to a client"),
          counter("answered", "results that came back"),
          counter("lost", "withdrawn: no result in time, or the call ended"));

  /** States held at readers. */
  public static final Family HELD =
      Family.values(
          "held",
          List.of("zone"),
          "states that wait at readers",
          counter("made", "left by reads"),
          counter("fetched", "taken by writers"),
          counter("let_go", "let go unused"),
          gauge("now", "1", "waiting now"));

  /** How long states were held. */
  public static final Family HELD_TIME =
      Family.times("held_time", List.of("zone"), "how long states waited at readers");

  /** Time to the first token. */
  public static final Family FIRST_TOKEN =
      Family.times("first_token", List.of("class"), "from a request's arrival to its first token");

  /** Time between tokens. */
  public static final Family TOKEN_PACE =
      Family.times(
          "token_pace",
          List.of("class"),
          "mean time between the tokens of an answer, waits for tools left out");

  /** Time of whole requests. */
  public static final Family WHOLE_TIME =
      Family.times("whole_time", List.of("class"), "from a request's arrival to its end");

  /** Lateness of the decision loop. */
  public static final Family LOOP_LAG =
      Family.times(
          "loop_lag",
          List.of(),
          "how late the decision loop ran a timer that it sets itself ten times a" + " second");

  /** The gateway at its own limit. */
  public static final Family OVERLOAD =
      Family.values(
          "overload",
          List.of(),
          "the gateway at its own limit, and times for which its process did not run",
          new Field(
              "share",
              Kind.GAUGE,
              3,
              "1",
              "part of the requests that is let in; 1 while nothing is refused for" + " it"),
          counter("refused", "requests refused because the gateway is late"),
          counter("stalls", "times for which the process did not run"),
          new Field("stalled", Kind.COUNTER, 3, "ms", "their sum"));

  /** What the gateway has in hand. */
  public static final Family GATEWAY =
      Family.values(
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

  /** The module's own view. */
  public static final Family MODULE =
      Family.values(
          "module",
          List.of(),
          "what the routing module sees now",
          gauge("parked", "1", "requests that wait for room"),
          gauge("tokens_under_way", "1", "tokens of prompts and answers under way"),
          gauge("room", "1", "tokens that the module lets be under way"));

  /** Servers as the router sees them. */
  public static final Family SERVERS =
      Family.values(
          "servers",
          BY_SERVER,
          "servers as the routing module sees them now",
          gauge("ready", "1", "listed and ready"),
          gauge("away", "1", "draining or gone"),
          gauge("cold", "1", "started a short time ago"),
          gauge("avoided", "1", "judged unhealthy"));

  /** Falls of service. */
  public static final Family FALL =
      Family.values(
          "fall",
          List.of("class", "zone"),
          "the detector's word; labels 'all' stand for all classes together",
          gauge("now", "1", "1 while service has fallen, else 0"),
          counter("begun", "falls told so far"),
          new Field(
              "evidence", Kind.GAUGE, 3, "1", "how near to telling of a fall, 1 and above tells"));

  /** The reports themselves. */
  public static final Family REPORT =
      Family.values(
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

  /** Where bounds were met. */
  public static final Family BOUNDS =
      Family.values(
          "bounds",
          List.of("dimension"),
          "labels beyond their bound",
          counter("other", "counts that went to the label 'other'"));

  /** What Micrometer's binders tell of the process. */
  public static final Family PROCESS =
      Family.values(
          "process",
          List.of("meter"),
          "gauges of the process from Micrometer's binders (memory, collector, threads,"
              + " files)",
          new Field("value", Kind.GAUGE, 3, "as the meter's", "the meter's value"));

  /** Lateness of reporting. */
  public static final Family CLOCK =
      Family.values(
          "clock",
          List.of(),
          "the clock that reports are stamped with",
          new Field(
              "ahead",
              Kind.GAUGE,
              3,
              "s",
              "stamps run ahead of the wall clock, after it was set back"),
          counter("set_back", "how often the wall clock went back"));

  /** All families. */
  public static final List<Family> ALL =
      List.of(
          WORTH,
          REQUESTS,
          VERDICTS,
          FALL,
          ATTEMPTS,
          SERVERS,
          MODULE,
          TOOLS,
          HELD,
          HELD_TIME,
          FIRST_TOKEN,
          TOKEN_PACE,
          WHOLE_TIME,
          LOOP_LAG,
          OVERLOAD,
          GATEWAY,
          REPORT,
          BOUNDS,
          CLOCK,
          PROCESS);

  private Metrics() {}

  private static Field worth(String name, String help) {
    return new Field(name, Kind.COUNTER, WORTH_PLACES, "worth", help);
  }

  private static Field counter(String name, String help) {
    return new Field(name, Kind.COUNTER, 0, "1", help);
  }

  private static Field gauge(String name, String unit, String help) {
    return new Field(name, Kind.GAUGE, 0, unit, help);
  }
}
