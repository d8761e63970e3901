package lemondock.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import lemondock.net.Loop;
import lemondock.net.Network;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpClientOptions;
import lemondock.net.http.HttpEncoder;
import lemondock.net.http.HttpEvent;
import lemondock.net.http.HttpExchange;
import lemondock.net.http.HttpLimits;
import lemondock.net.http.HttpRequest;
import lemondock.net.http.HttpServer;
import lemondock.net.http.HttpServerOptions;
import lemondock.net.http.HttpService;
import lemondock.net.http.RequestFailure;
import lemondock.net.http.ResponseReceiver;
import lemondock.net.sse.SseEvent;

/**
 * A small stand-in for a model server: it takes reads and writes by the OpenAI-compatible API with
 * {@code kv_transfer_params}, has slots, a queue, memory, kept texts, a warm-up and faults, and
 * tells a {@link TrafficObserver} what passed on its sockets. It is no model of an engine's inner
 * workings. States move by a call of its own between stand-ins.
 */
public final class EngineEmulator implements HttpService {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int CHARS_A_TOKEN = 4;
  private static final int MOST_KEPT = 4_096;
  private static final long HIGH_MARK = 64 * 1024;
  private static final long MICROS = 1_000;
  private static final long SECOND = 1_000_000;
  private static final long STATE_LIFE = 30 * SECOND;

  private final Loop loop;
  private final EngineSettings settings;
  private final TrafficObserver observer;
  private final SplittableRandom random;
  private final HttpServer server;
  private final HttpClient client;
  private final EngineFaults faults = new EngineFaults();
  private final Map<Long, Integer> kept =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Integer> eldest) {
          return size() > MOST_KEPT;
        }
      };
  private final Map<String, State> states = new LinkedHashMap<>();
  private final Set<String> aborted = new HashSet<>();
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final ArrayDeque<Job> queue = new ArrayDeque<>();
  private int atWork;
  private long memory;
  private long startedAt;
  private boolean dead;

  private record State(int tokens, String mark, String gateway, long at) {}

  /** Makes an engine; it serves from {@link #start} on. */
  public EngineEmulator(
      Loop loop, Network network, EngineSettings settings, long seed, TrafficObserver observer) {
    this.loop = loop;
    this.settings = settings;
    this.observer = observer;
    this.random = new SplittableRandom(seed);
    this.client =
        new HttpClient(
            loop,
            network,
            new HttpClientOptions(HttpLimits.DEFAULT, 1024, 256, SECOND / 4, 15 * SECOND));
    this.server =
        new HttpServer(
            loop,
            HttpServerOptions.builder()
                .limits(new HttpLimits(8 * 1024, 32 * 1024, 100, 64L * 1024 * 1024))
                .maxConnections(20_000)
                .maxBufferedBodyBytes(512L * 1024 * 1024)
                .idleTimeoutMicros(60 * SECOND)
                .requestTimeoutMicros(10 * SECOND)
                .stallTimeoutMicros(60 * SECOND)
                .build(),
            this);
  }

  /** Takes its port; cold from this moment. */
  public void start(Network network) throws IOException {
    int colon = settings.listen().lastIndexOf(':');
    server.start(
        network,
        new InetSocketAddress(
            settings.listen().substring(0, colon),
            Integer.parseInt(settings.listen().substring(colon + 1))));
    startedAt = loop.now();
    hear(TrafficEvent.Kind.STARTED, "", "", "", Math.round(settings.warmUpMs()), settings.role());
  }

  /** The address taken. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** What is wrong with it; change it on the loop. */
  public EngineFaults faults() {
    return faults;
  }

  /** Its settings. */
  public EngineSettings settings() {
    return settings;
  }

  /** Requests at work, tokens held and states kept, for tests; loop thread only. */
  public String load() {
    return atWork
        + " at work, "
        + queue.size()
        + " waiting, "
        + states.size()
        + " states, "
        + memory
        + " tokens";
  }

  /** States that wait for a writer; loop thread only. */
  public int states() {
    return states.size();
  }

  /** Requests at work; loop thread only. */
  public int running() {
    return atWork;
  }

  /** Forgets the texts that it kept. */
  public void forget() {
    kept.clear();
  }

  /** Says that its process died; whoever runs it breaks its connections. */
  public void died() {
    dead = true;
    hear(TrafficEvent.Kind.DIED, "", "", "", 0, "");
  }

  private void hear(
      TrafficEvent.Kind what, String id, String mark, String gateway, long value, String detail) {
    observer.onEvent(
        new TrafficEvent(loop.now(), settings.name(), what, id, mark, gateway, value, detail));
  }

  // ==== requests

  @Override
  public Object prepare(HttpRequest request) {
    try {
      return MAPPER.readTree(request.body());
    } catch (IOException e) {
      return null;
    }
  }

  @Override
  public void serve(HttpExchange exchange) {
    if (dead) {
      exchange.abort();
      return;
    }
    JsonNode body = (JsonNode) exchange.prepared();
    String path = exchange.request().path();
    if (path.equals("/health")) {
      exchange.respond(200, new Headers(), new byte[0]);
    } else if (body == null || !body.isObject()) {
      error(exchange, 400, "bad_request", "the body is no JSON object");
    } else if (path.equals("/v1/chat/completions")) {
      complete(exchange, body);
    } else if (path.equals("/abort_request")) {
      abort(exchange, body);
    } else if (path.equals("/standin/state")) {
      giveState(exchange, body);
    } else {
      error(exchange, 404, "not_found", "there is nothing at " + path);
    }
  }

  private void complete(HttpExchange exchange, JsonNode body) {
    JsonNode transfer = body.path("kv_transfer_params");
    boolean read = transfer.path("do_remote_decode").asBoolean(false);
    boolean fromState = transfer.path("do_remote_prefill").asBoolean(false);
    Job job = new Job(exchange, body, read, fromState ? transfer : null);
    hear(
        read ? TrafficEvent.Kind.PREFILL : TrafficEvent.Kind.DECODE,
        job.id,
        job.mark,
        job.gateway,
        job.tokens,
        Integer.toString(body.path("messages").size()));
    exchange.onDisconnect(job::gone);
    if (faults.raw != null && faults.hit()) {
      hear(TrafficEvent.Kind.CONNECTION_LOST, job.id, job.mark, job.gateway, 0, "raw");
      exchange.begin(200, Headers.of("content-type", "text/event-stream"));
      exchange.send(faults.raw);
      loop.schedule(5 * MICROS, exchange::abort);
    } else if (faults.silent) {
      jobs.put(job.id, job); // and nothing more
    } else if (!read && !fromState && settings.role().equals("writer")) {
      job.turnAway("kv_state_missing", "this server reads no prompts");
    } else if (read && settings.role().equals("writer")) {
      error(exchange, 400, "bad_request", "this server reads no prompts");
    } else if (faults.full
        || atWork >= settings.slots() && queue.size() >= settings.queue()
        || memory + job.tokens > settings.memoryTokens()) {
      job.turnAway("overloaded", "no room");
    } else {
      memory += job.tokens;
      job.holds = true;
      jobs.put(job.id, job);
      queue.add(job);
      next();
    }
  }

  private void next() {
    while (atWork < settings.slots() && !queue.isEmpty()) {
      Job job = queue.poll();
      if (!job.over) {
        atWork++;
        job.running = true;
        job.run();
      }
    }
  }

  /** How much longer all takes at the moment: cold servers and slow ones. */
  private double drag() {
    double warmed =
        settings.warmUpMs() <= 0
            ? 1
            : Math.min(1, (loop.now() - startedAt) / (settings.warmUpMs() * MICROS));
    return faults.slow / (settings.coldShare() + (1 - settings.coldShare()) * warmed);
  }

  private final class Job {
    private final HttpExchange exchange;
    private final JsonNode body;
    private final boolean read;
    private final JsonNode transfer;
    private final String id;
    private final String mark;
    private final String gateway;
    private final int tokens;
    private boolean running;
    private boolean over;
    private boolean holds;
    private boolean effect;
    private int cached;
    private AnswerScript.Leg leg;
    private int at;
    private boolean paused;
    private boolean stamped;
    private double pace;

    Job(HttpExchange exchange, JsonNode body, boolean read, JsonNode transfer) {
      this.exchange = exchange;
      this.body = body;
      this.read = read;
      this.transfer = transfer;
      String header = exchange.request().headers().firstValue("x-request-id").orElse(null);
      this.id = header == null ? body.path("request_id").asText("") : header;
      this.mark = AnswerScript.mark(body.path("messages"));
      String agent = exchange.request().headers().firstValue("user-agent").orElse("null");
      int open = agent.indexOf('(');
      this.gateway =
          open >= 0 && agent.endsWith(")") ? agent.substring(open + 1, agent.length() - 1) : agent;
      int chars = 0;
      for (JsonNode message : body.path("messages")) {
        chars += message.path("content").asText("").length();
      }
      this.tokens = Math.max(1, chars / CHARS_A_TOKEN);
    }

    void turnAway(String code, String what) {
      over = true;
      hear(TrafficEvent.Kind.REJECTED, id, mark, gateway, 0, code);
      error(exchange, 503, code, what);
    }

    void run() {
      if (transfer != null) {
        fetch();
      } else {
        cached = keptTokens();
        after(
            settings.readMs() + 1000.0 * (tokens - cached) / settings.readPerSecond(),
            () -> {
              keep();
              if (read) {
                finishRead();
              } else {
                after(settings.firstMs(), this::begin);
              }
            });
      }
    }

    private void after(double millis, Runnable step) {
      loop.schedule(
          Math.round(millis * MICROS * drag()),
          () -> {
            if (!over && !dead) {
              step.run();
            }
          });
    }

    /** Tokens up to the last message whose text, with all before it, is kept. */
    private int keptTokens() {
      int best = 0;
      int chars = 0;
      long hash = 1;
      for (JsonNode message : body.path("messages")) {
        String text = message.path("content").asText("");
        chars += text.length();
        hash = hash * 1_000_003 + text.hashCode();
        if (kept.containsKey(hash)) {
          best = chars / CHARS_A_TOKEN;
        }
      }
      return Math.min(best, tokens - 1);
    }

    private void keep() {
      long hash = 1;
      for (JsonNode message : body.path("messages")) {
        hash = hash * 1_000_003 + message.path("content").asText("").hashCode();
        kept.put(hash, 0);
      }
    }

    private void finishRead() {
      if (random.nextDouble() < faults.errors) {
        hear(TrafficEvent.Kind.ANSWERED, id, mark, gateway, 500, "read");
        error(exchange, 500, "internal", "a fault of the stand-in");
        end();
        return;
      }
      final boolean lost = random.nextDouble() < faults.lostAnswers;
      if (aborted.remove(id)) {
        end();
        return;
      }
      hear(TrafficEvent.Kind.STATE_RESERVED, id, mark, gateway, tokens, "");
      if (faults.dropStates) {
        hear(TrafficEvent.Kind.STATE_RELEASED, id, mark, gateway, tokens, "lost");
      } else {
        states.put(id, new State(tokens, mark, gateway, loop.now()));
        memory += tokens;
        loop.schedule(STATE_LIFE, () -> drop(id, "expired"));
      }
      end();
      if (lost) {
        over = true;
        return;
      }
      ObjectNode reply =
          JsonNodeFactory.instance
              .objectNode()
              .put("id", "chatcmpl-" + id)
              .put("object", "chat.completion")
              .put("model", body.path("model").asText());
      reply
          .putArray("choices")
          .addObject()
          .put("index", 0)
          .put("finish_reason", "length")
          .putObject("message")
          .put("role", "assistant")
          .put("content", "");
      usage(reply, 1);
      reply
          .putObject("kv_transfer_params")
          .put("do_remote_prefill", true)
          .put("do_remote_decode", false)
          .put("remote_engine_id", settings.name())
          .put("remote_request_id", id)
          .put("remote_host", address().getHostString())
          .put("remote_port", address().getPort());
      hear(TrafficEvent.Kind.ANSWERED, id, mark, gateway, 200, "read");
      exchange.respond(200, Headers.of("content-type", "application/json"), bytes(reply));
    }

    private void usage(ObjectNode reply, int answer) {
      ObjectNode usage =
          reply
              .putObject("usage")
              .put("prompt_tokens", tokens)
              .put("completion_tokens", answer)
              .put("total_tokens", tokens + answer);
      usage.putObject("prompt_tokens_details").put("cached_tokens", cached);
    }

    private void fetch() {
      String host = transfer.path("remote_host").asText("");
      int port = transfer.path("remote_port").asInt(0);
      byte[] ask =
          bytes(
              JsonNodeFactory.instance
                  .objectNode()
                  .put("request_id", transfer.path("remote_request_id").asText("")));
      if (host.isEmpty() || port <= 0 || port > 65535) {
        end();
        turnAway("kv_state_missing", "the state's address makes no sense");
        return;
      }
      client.send(
          new InetSocketAddress(host, port),
          HttpEncoder.request(
              "POST",
              "/standin/state",
              Headers.of("host", host, "content-type", "application/json"),
              ask),
          new ResponseReceiver() {
            private int status;

            @Override
            public void onHead(HttpEvent.ResponseHead head) {
              status = head.status();
            }

            @Override
            public void onComplete() {
              fetched(status == 200);
            }

            @Override
            public void onFailure(RequestFailure failure, String what) {
              fetched(false);
            }
          });
    }

    private void fetched(boolean there) {
      if (over || dead) {
        return;
      }
      if (there) {
        after(settings.firstMs(), this::begin);
      } else {
        end();
        turnAway("kv_state_missing", "the state is not there");
      }
    }

    private void begin() {
      effect = true;
      hear(TrafficEvent.Kind.DECODE_STARTED, id, mark, gateway, body.path("messages").size(), "");
      if (random.nextDouble() < faults.errors) {
        hear(TrafficEvent.Kind.ANSWERED, id, mark, gateway, 500, "write");
        error(exchange, 500, "internal", "a fault of the stand-in");
        end();
        return;
      }
      if (random.nextDouble() < faults.lostAnswers) {
        loop.schedule(SECOND, this::release); // the work is done, and nobody hears of it
        return;
      }
      leg = AnswerScript.leg(body);
      stamped = AnswerScript.says(body.path("messages"), "stamp each word");
      pace = AnswerScript.says(body.path("messages"), "without pause") ? 0 : settings.tokenMs();
      exchange.begin(200, Headers.of("content-type", "text/event-stream; charset=utf-8"));
      exchange.onWriteQueueDrained(
          () -> {
            if (paused) {
              paused = false;
              token();
            }
          });
      event("{\"role\":\"assistant\",\"content\":\"\"}", null, 0);
      token();
    }

    /** Gives back slot and memory. */
    private void release() {
      if (holds) {
        holds = false;
        memory -= tokens;
        queue.remove(this);
        jobs.remove(id, this);
        if (running) {
          running = false;
          atWork--;
          next();
        }
      }
    }

    private void token() {
      int most = body.path("max_tokens").asInt(Integer.MAX_VALUE);
      if (over) {
        return;
      }
      if (faults.breakAfter >= 0 && at >= faults.breakAfter && faults.hit()) {
        hear(TrafficEvent.Kind.CONNECTION_LOST, id, mark, gateway, at, "on purpose");
        end();
        exchange.abort();
      } else if (faults.stallAfter >= 0 && at >= faults.stallAfter && faults.hit()) {
        paused = false; // and that is the last that is heard
      } else if (faults.badEvent != null && at == 1 && faults.hit()) {
        exchange.send(SseEvent.encode(null, null, faults.badEvent));
        at++;
        after(pace, this::token);
      } else if (at < leg.pieces().size() && at < most) {
        String piece = stamped ? " " + loop.now() : leg.pieces().get(at);
        at++;
        event("{\"content\":" + JsonNodeFactory.instance.textNode(piece) + "}", null, at);
        if (exchange.pendingBytes() > HIGH_MARK) {
          paused = true;
        } else {
          after(pace, this::token);
        }
      } else {
        close(at >= most && at < leg.pieces().size());
      }
    }

    private void close(boolean cut) {
      int index = 0;
      if (!cut) {
        for (AnswerScript.Call call :
            leg.calls()) { // arguments come in two fragments, as engines send them
          int half = call.arguments().length() / 2;
          event(
              "{\"tool_calls\":[{\"index\":"
                  + index
                  + ",\"id\":\""
                  + call.id()
                  + "\",\"type\":\"function\","
                  + "\"function\":{\"name\":\""
                  + call.name()
                  + "\",\"arguments\":"
                  + JsonNodeFactory.instance.textNode(call.arguments().substring(0, half))
                  + "}}]}",
              null,
              at);
          event(
              "{\"tool_calls\":[{\"index\":"
                  + index
                  + ",\"function\":{\"arguments\":"
                  + JsonNodeFactory.instance.textNode(call.arguments().substring(half))
                  + "}}]}",
              null,
              at);
          index++;
        }
      }
      event("{}", cut ? "length" : index > 0 ? "tool_calls" : "stop", at);
      ObjectNode last =
          JsonNodeFactory.instance
              .objectNode()
              .put("id", "chatcmpl-" + id)
              .put("object", "chat.completion.chunk");
      last.putArray("choices");
      usage(last, at);
      exchange.send(SseEvent.encode(null, null, last.toString()));
      exchange.send(SseEvent.encode(null, null, "[DONE]"));
      hear(TrafficEvent.Kind.ANSWERED, id, mark, gateway, 200, "write");
      end();
      exchange.finish();
    }

    private void event(String delta, String finish, int tokensSoFar) {
      exchange.send(
          SseEvent.encode(
              null,
              null,
              "{\"id\":\"chatcmpl-"
                  + id
                  + "\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":"
                  + delta
                  + ",\"finish_reason\":"
                  + (finish == null ? "null" : "\"" + finish + "\"")
                  + "}],\"usage\":{\"prompt_tokens\":"
                  + tokens
                  + ",\"completion_tokens\":"
                  + tokensSoFar
                  + "}}"));
    }

    /** The gateway's connection is gone: waiting work is dropped, running work stops. */
    void gone() {
      hear(
          TrafficEvent.Kind.CONNECTION_LOST, id, mark, gateway, at, effect ? "running" : "waiting");
      end();
    }

    void end() {
      if (!over) {
        over = true;
        jobs.remove(id, this);
        release();
      }
    }
  }

  // ==== states

  private void giveState(HttpExchange exchange, JsonNode body) {
    String id = body.path("request_id").asText("");
    State state = states.remove(id);
    if (state == null) {
      error(exchange, 404, "not_found", "no state of that name");
      return;
    }
    memory -= state.tokens();
    hear(TrafficEvent.Kind.STATE_FETCHED, id, state.mark(), state.gateway(), state.tokens(), "");
    exchange.respond(200, new Headers(), new byte[0]);
  }

  private void abort(HttpExchange exchange, JsonNode body) {
    String id = body.path("rid").asText("");
    hear(TrafficEvent.Kind.ABORT, id, "", "", 0, "");
    drop(id, "abort");
    Job job = jobs.get(id);
    if (job != null) {
      job.gone();
      job.exchange.abort();
    } else if (aborted.size() < MOST_KEPT) {
      aborted.add(id); // the read may still be under way behind it
      loop.schedule(SECOND, () -> aborted.remove(id));
    }
    exchange.respond(200, new Headers(), new byte[0]);
  }

  private void drop(String id, String why) {
    State state = states.remove(id);
    if (state != null) {
      memory -= state.tokens();
      hear(
          TrafficEvent.Kind.STATE_RELEASED, id, state.mark(), state.gateway(), state.tokens(), why);
    }
  }

  private static void error(HttpExchange exchange, int status, String code, String what) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.putObject("error").put("message", what).put("type", "standin").put("code", code);
    exchange.respond(status, Headers.of("content-type", "application/json"), bytes(body));
  }

  private static byte[] bytes(JsonNode node) {
    return node.toString().getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Tokens written so far of the answer with that mark, -1 if it is not at work; loop thread only.
   */
  public int written(String mark) {
    return jobs.values().stream()
        .filter(j -> j.mark.equals(mark))
        .mapToInt(j -> j.at)
        .findFirst()
        .orElse(-1);
  }
}
