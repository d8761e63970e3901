package lemondock.gateway.front;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import lemondock.admit.Admission;
import lemondock.durable.CallBook;
import lemondock.gateway.answer.Prompt;
import lemondock.gateway.answer.PromptReader;
import lemondock.gateway.core.Calls;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.Loop;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpServer;
import lemondock.rpc.JsonRpc;
import lemondock.rpc.Mcp;
import lemondock.rpc.Message;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The clients' front: the Model Context Protocol over Streamable HTTP. It speaks the protocol and keeps sessions; what
 * becomes of a call is decided behind {@link Calls}.
 */
public final class McpFront implements HttpServer.Service {
    private static final Logger LOG = LoggerFactory.getLogger(McpFront.class);
    private static final String PATH = "/mcp";
    private static final byte[] NOTHING = new byte[0];
    private static final long REAP_EVERY = 1_000_000;
    private static final long MICROS = 1_000;
    private static final int MOST_KEY = 200;
    private static final long SECOND = 1_000_000;
    private static final Pattern LOOPBACK = Pattern.compile("(localhost|127\\.[0-9.]+|\\[::1]):[0-9]+");
    /** A page that this machine itself serves, on whatever port; other machines' pages have other origins. */
    private static final Pattern LOOPBACK_ORIGIN =
            Pattern.compile("https?://(localhost|127\\.0\\.0\\.1|\\[::1])(:[0-9]{1,5})?");

    private final Loop loop;
    private final GatewaySettings.Front settings;
    private final GatewaySettings all;
    private final Calls calls;
    private final PromptReader prompts;
    private final JsonRpc rpc;
    private final Supplier<String> sessionIds;
    private final String version;
    private final Map<String, McpSession> sessions = new HashMap<>();
    private final boolean loopback;
    private final Supplier<String> notReady;
    private final Admission admission;
    private final AtomicLong chances = new AtomicLong();
    private boolean leaving;
    private boolean stopping;

    /** What an I/O thread made of a request: its messages, and for each call its prompt or what is wrong with it. */
    private record Prepared(JsonRpc.Parsed parsed, Map<Message, Object> prompts) { }

    /**
     * Makes a front.
     *
     * @param sessionIds gives ids that cannot be guessed
     * @param admission what is let in when the gateway itself is late
     * @param notReady says why nothing can be served now, empty if it can
     */
    public McpFront(Loop loop, GatewaySettings settings, Calls calls, PromptReader prompts, Supplier<String> sessionIds,
            Supplier<String> notReady, Admission admission, String version) {
        this.notReady = notReady;
        this.admission = admission;
        this.loopback = LOOPBACK.matcher(settings.front().listen()).matches();
        this.loop = loop;
        this.all = settings;
        this.settings = settings.front();
        this.calls = calls;
        this.prompts = prompts;
        this.sessionIds = sessionIds;
        this.version = version;
        this.rpc = new JsonRpc(new JsonRpc.Limits(this.settings.maxDepth(), this.settings.maxBatch(),
                (int) Math.min(Integer.MAX_VALUE, this.settings.maxBodyBytes()), JsonRpc.Limits.DEFAULT.numberLength()));
    }

    /** Begins to let go of idle sessions. */
    public void start() {
        loop.schedule(REAP_EVERY, () -> {
            long idle = GatewaySettings.micros(settings.sessionIdleMs());
            List.copyOf(sessions.values()).stream()
                    .filter(s -> s.calls.isEmpty() && s.streams.isEmpty() && s.server == null
                            && loop.now() - s.usedAt > idle)
                    .forEach(s -> end(s, "the session was idle"));
            start();
        });
    }

    /** Says to load balancers that it is about to stop; everything is served on. */
    public void leave() {
        leaving = true;
    }

    /** Takes no new sessions and calls from here on; those under way go on. */
    public void stop() {
        stopping = true;
    }

    /** Closes what is still open, at the end of a stop. */
    public void close() {
        List.copyOf(sessions.values()).forEach(s -> end(s, "the gateway stops"));
    }

    /** Sessions open. */
    public int sessions() {
        return sessions.size();
    }

    /** Event streams of calls open, those that wait for their client to come back among them. */
    public int streams() {
        return sessions.values().stream().mapToInt(s -> s.streams.size()).sum();
    }

    // ==== on I/O threads

    @Override
    public boolean servesContent() {
        return false;
    }

    @Override
    public Object prepare(HttpServer.Request request) {
        if (!request.method().equals("POST")) {
            return null;
        }
        boolean asked = request.body().length >= all.overload().heavyBytes() && Peek.tool(request.body()) != null;
        JsonRpc.Parsed parsed = rpc.parse(request.body());
        Map<Message, Object> made = new HashMap<>();
        for (Message message : parsed.messages()) {
            if (message instanceof Message.Request call && call.method().equals(Mcp.TOOLS_CALL)) {
                made.put(message, prompt(call.params(), asked && !parsed.batch()));
            }
        }
        return new Prepared(parsed, made);
    }

    @Override
    public int glance() {
        return Peek.FAR;
    }

    /** Before a large call is even parsed, where its tool can be seen at a glance: {@link #prompt} then asks no second time. */
    @Override
    public HttpServer.Refusal turnsAway(HttpServer.Request request) {
        Admission.Gate gate = admission.gate();
        if (gate == Admission.Gate.OPEN || !all.overload().refuse() || !request.method().equals("POST")) {
            return null;
        }
        String tool = Peek.tool(request.body());
        int classId = tool == null ? -1 : prompts.classId(tool);
        if (classId < 0 || gate.admits(value(classId), chance())) {
            return null;
        }
        long retryAfter = gate.retryAfter(chance());
        return new HttpServer.Refusal(1 + retryAfter / SECOND, "application/json", bytes(late(NullNode.instance, retryAfter)), () -> {
            admission.arrived(value(classId), false);
            calls.refusedLate(classId, null, false);
        });
    }

    private static ObjectNode late(JsonNode id, long retryAfter) {
        return JsonRpc.error(id, Mcp.REFUSED, "refused: the gateway is at its limit", JsonNodeFactory.instance.objectNode()
                .put("retryable", true).put("retryAfterMs", retryAfter / MICROS));
    }

    /** {@code asked} says that the gate let it in by its tool already. */
    private Object prompt(JsonNode params, boolean asked) {
        if (params == null || !params.path("name").isTextual()) {
            return "/name: expected the name of a tool";
        }
        int classId = prompts.classId(params.get("name").textValue());
        if (classId < 0) {
            return "Unknown tool: " + clip(params.get("name").textValue());
        }
        double value = value(classId);
        if (all.overload().refuse()) { // before the prompt is tokenized, which is the work of letting it in
            Admission.Gate gate = admission.gate();
            if (!asked && !gate.admits(value, chance()) || repeat(params) && !gate.admitsRepeat(chance())) {
                return new Late(classId, gate.retryAfter(chance()));
            }
        }
        JsonNode key = params.path("_meta").get("lemondock/key");
        if (key != null && (!key.isTextual() || key.textValue().isEmpty() || key.textValue().length() > MOST_KEY)) {
            return "/_meta/lemondock~1key: expected a text of 1 to " + MOST_KEY + " characters";
        }
        JsonNode progress = params.path("_meta").get("progressToken");
        if (progress != null && !progress.isTextual() && !progress.isIntegralNumber()) {
            return "/_meta/progressToken: expected a string or a whole number";
        }
        try {
            return prompts.read(classId, params.get("arguments"));
        } catch (PromptReader.BadArguments e) {
            return e.getMessage();
        }
    }

    /** The client's key for a call and all its repeats, null if it gave none. */
    private static String onceKey(JsonNode params) {
        return params.path("_meta").path("lemondock/key").asText(null);
    }

    /** Whether the client says that it asked before. */
    private static boolean repeat(JsonNode params) {
        return params.path("_meta").path("lemondock/retry").asBoolean(false);
    }

    /** A call that is refused because the gateway is late. */
    private record Late(int classId, long retryAfter) { }

    private double value(int classId) {
        GatewaySettings.RequestClass c = all.classes().get(classId);
        return Admission.value(c.worth(), GatewaySettings.micros(c.aimMs()));
    }

    /** A number from 0 up to 1, each time another; any thread. */
    private double chance() {
        long z = chances.addAndGet(0x9E3779B97F4A7C15L);
        z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return ((z ^ z >>> 31) >>> 11) * 0x1.0p-53;
    }

    // ==== requests

    @Override
    public void serve(HttpServer.Exchange exchange) {
        HttpServer.Request request = exchange.request();
        String forbidden = forbidden(request);
        if (forbidden != null) {
            text(exchange, 403, forbidden);
        } else if (request.path().equals("/healthz") || request.path().equals("/readyz")) {
            probe(exchange, request.path().equals("/healthz") ? "" : stopping || leaving ? "the gateway stops"
                    : notReady.get());
        } else if (!request.path().equals(PATH)) {
            text(exchange, 404, "there is nothing here; the service is at " + PATH);
        } else {
            switch (request.method()) {
                case "POST" -> post(exchange);
                case "GET" -> get(exchange);
                case "DELETE" -> delete(exchange);
                default -> exchange.respond(405, Headers.of("allow", "POST, GET, DELETE"), NOTHING);
            }
        }
    }

    /** What a load balancer asks: 200, or 503 and why not. */
    private static void probe(HttpServer.Exchange exchange, String why) {
        if (exchange.request().method().equals("GET") || exchange.request().method().equals("HEAD")) {
            text(exchange, why.isEmpty() ? 200 : 503, why.isEmpty() ? "ok" : why);
        } else {
            exchange.respond(405, Headers.of("allow", "GET, HEAD"), NOTHING);
        }
    }

    /** Against DNS rebinding: a page of another site can make a browser come here, but under that site's names. */
    private String forbidden(HttpServer.Request request) {
        String host = request.headers().get("host");
        if (host != null && !settings.allowedHosts().contains("*")
                && !settings.allowedHosts().contains(withoutPort(host).toLowerCase(Locale.ROOT))) {
            return "host " + clip(host) + " is not allowed here";
        }
        String origin = request.headers().get("origin");
        if (origin != null && !settings.allowedOrigins().contains("*") && !settings.allowedOrigins().contains(origin)
                && !(loopback && LOOPBACK_ORIGIN.matcher(origin).matches())) {
            return "origin " + clip(origin) + " is not allowed here";
        }
        return null;
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon > host.lastIndexOf(']') ? host.substring(0, colon) : host;
    }

    private void post(HttpServer.Exchange exchange) {
        Headers headers = exchange.request().headers();
        String type = headers.get("content-type");
        if (type == null || !type.split(";")[0].strip().equalsIgnoreCase("application/json")) {
            text(exchange, 415, "expected content-type application/json, found " + clip(String.valueOf(type)));
            return;
        }
        boolean json = accepts(headers, "application/json");
        boolean stream = accepts(headers, "text/event-stream");
        if (!json && !stream) {
            text(exchange, 406, "expected accept: application/json, text/event-stream");
            return;
        }
        Prepared prepared = (Prepared) exchange.prepared();
        List<Message> messages = prepared.parsed().messages();
        if (!prepared.parsed().batch() && messages.get(0) instanceof Message.Invalid invalid) {
            error(exchange, 400, invalid.id(), invalid.code(), invalid.what());
            return;
        }
        if (!prepared.parsed().batch() && messages.get(0) instanceof Message.Request first
                && first.method().equals(Mcp.INITIALIZE)) {
            initialize(exchange, first);
            return;
        }
        McpSession session = session(exchange);
        if (session == null) {
            return;
        }
        if (prepared.parsed().batch() && !session.version.equals(Mcp.BATCH_VERSION)) {
            error(exchange, 400, NullNode.instance, JsonRpc.INVALID_REQUEST,
                    "Invalid Request: version " + session.version + " has no batches");
            return;
        }
        messages(exchange, session, prepared, stream);
    }

    private static boolean accepts(Headers headers, String type) {
        for (String value : headers.all("accept")) {
            for (String part : value.split(",")) {
                String range = part.split(";")[0].strip().toLowerCase(Locale.ROOT);
                if (range.equals(type) || range.equals("*/*") || range.equals(type.split("/")[0] + "/*")) {
                    return true;
                }
            }
        }
        return false;
    }

    /** The session that a request names, in the version it speaks; null if that was answered with an error. */
    private McpSession session(HttpServer.Exchange exchange) {
        Headers headers = exchange.request().headers();
        String spoken = headers.get(Mcp.VERSION_HEADER);
        if (spoken != null && !Mcp.VERSIONS.contains(spoken)) {
            error(exchange, 400, NullNode.instance, JsonRpc.INVALID_REQUEST,
                    "Bad Request: unsupported protocol version " + clip(spoken) + ", expected one of " + Mcp.VERSIONS);
            return null;
        }
        String id = headers.get(Mcp.SESSION_HEADER);
        if (id == null) {
            error(exchange, 400, NullNode.instance, JsonRpc.INVALID_REQUEST,
                    "Bad Request: expected header " + Mcp.SESSION_HEADER);
            return null;
        }
        McpSession session = sessions.get(id);
        if (session == null) {
            error(exchange, 404, NullNode.instance, JsonRpc.INVALID_REQUEST, "Session not found");
            return null;
        }
        session.usedAt = loop.now();
        return session;
    }

    private void initialize(HttpServer.Exchange exchange, Message.Request request) {
        JsonNode asked = request.params() == null ? null : request.params().get("protocolVersion");
        if (asked == null || !asked.isTextual()) {
            error(exchange, 400, request.id(), JsonRpc.INVALID_PARAMS, "/protocolVersion: expected a text, found " + asked);
            return;
        }
        if (stopping) {
            error(exchange, 503, request.id(), Mcp.STOPPING, "the gateway is stopping");
            return;
        }
        Admission.Gate gate = admission.gate();
        if (all.overload().refuse() && !gate.admitsNewcomer(chance())) {
            exchange.respond(503, Headers.of("content-type", "application/json", "retry-after",
                    Long.toString(1 + gate.retryAfter(chance()) / SECOND)), bytes(JsonRpc.error(request.id(), Mcp.LIMIT,
                            "the gateway is at its limit", JsonNodeFactory.instance.objectNode().put("retryable", true))));
            return;
        }
        if (sessions.size() >= settings.maxSessions()) {
            error(exchange, 503, request.id(), Mcp.LIMIT, "no more than " + settings.maxSessions() + " sessions at once");
            return;
        }
        McpSession session = new McpSession(sessionIds.get(), Mcp.negotiate(asked.textValue()), loop.now());
        sessions.put(session.id, session);
        ObjectNode result = JsonNodeFactory.instance.objectNode().put("protocolVersion", session.version);
        result.putObject("capabilities").putObject("tools").put("listChanged", false);
        result.putObject("serverInfo").put("name", "lemondock").put("version", version);
        exchange.respond(200, Headers.of("content-type", "application/json", Mcp.SESSION_HEADER, session.id),
                bytes(JsonRpc.result(request.id(), result)));
    }

    private void delete(HttpServer.Exchange exchange) {
        McpSession session = session(exchange);
        if (session != null) {
            end(session, "the client ended the session");
            exchange.respond(204, new Headers(), NOTHING);
        }
    }

    private void end(McpSession session, String why) {
        session.ended = true;
        sessions.remove(session.id);
        for (McpCall call : List.copyOf(session.calls.values())) {
            call.call().leave(why);
        }
        session.calls.clear();
        session.relayed.clear();
        List.copyOf(session.streams.values()).forEach(Stream::close);
        if (session.server != null) {
            session.server.close();
        }
    }

    /** The client's side of a stream: a new one for what the server says by itself, or one that broke. */
    private void get(HttpServer.Exchange exchange) {
        if (!accepts(exchange.request().headers(), "text/event-stream")) {
            text(exchange, 406, "expected accept: text/event-stream");
            return;
        }
        McpSession session = session(exchange);
        if (session == null) {
            return;
        }
        String last = exchange.request().headers().get(Mcp.LAST_EVENT_HEADER);
        if (last != null) {
            resume(exchange, session, last);
            return;
        }
        if (session.server != null) {
            session.server.close(); // one such stream a session: the newer one wins
        }
        Stream stream = new Stream(loop, 0, settings.replayBytes(), 0, GatewaySettings.micros(settings.keepAliveMs()),
                new Stream.Owner() {
                    @Override
                    public void slow() { }

                    @Override
                    public void flow() { }

                    @Override
                    public void over(Stream ended, boolean delivered) {
                        if (session.server == ended) {
                            session.server = null;
                        }
                    }
                });
        session.server = stream;
        stream.open(exchange, session.id, false);
    }

    private void resume(HttpServer.Exchange exchange, McpSession session, String last) {
        if (last.matches("[0-9]{1,18}-[0-9]{1,18}")) {
            String[] parts = last.split("-");
            Stream stream = session.streams.get(Long.parseLong(parts[0]));
            if (stream != null && stream.resume(exchange, session.id, Long.parseLong(parts[1]))) {
                return;
            }
        }
        text(exchange, 404, "the stream of event " + clip(last) + " is over or its events are not kept any more");
    }

    // ==== messages

    private void messages(HttpServer.Exchange exchange, McpSession session, Prepared prepared, boolean stream) {
        List<Message.Request> requests = new ArrayList<>();
        List<ObjectNode> ready = new ArrayList<>();
        for (Message message : prepared.parsed().messages()) {
            if (message instanceof Message.Request request) {
                requests.add(request);
            } else if (message instanceof Message.Notification notification) {
                notified(session, notification);
            } else if (message instanceof Message.Response response) {
                responded(session, response);
            } else if (message instanceof Message.Invalid invalid) {
                ready.add(JsonRpc.error(invalid.id(), invalid.code(), invalid.what(), null));
            }
        }
        if (requests.isEmpty() && ready.isEmpty()) {
            exchange.respond(202, new Headers(), NOTHING);
            return;
        }
        PostReply reply = new PostReply(exchange, session, prepared.parsed().batch(), stream, requests.size(), ready);
        for (Message.Request request : requests) {
            reply.take(request, prepared.prompts().get(request));
        }
        reply.flush();
    }

    private void notified(McpSession session, Message.Notification notification) {
        if (notification.method().equals(Mcp.CANCELLED) && notification.params() != null) {
            JsonNode id = notification.params().get("requestId");
            McpCall call = id == null ? null : session.calls.get(id.toString());
            if (call != null) {
                call.call().leave("the client cancelled");
                call.cancelled();
            } else if (id != null) {
                session.cancelledEarly(id.toString(), loop.now());
            }
        }
    }

    /** A response to a call that the gateway relayed. What nobody waits for is logged and dropped. */
    private void responded(McpSession session, Message.Response response) {
        McpSession.Relayed relayed = response.id().isTextual() ? session.relayed.remove(response.id().textValue()) : null;
        boolean taken = relayed != null
                && relayed.call().result(relayed.callId(), Calls.toolResult(response.result(), response.error()));
        if (!taken) {
            LOG.atInfo().addKeyValue("request", clip(response.id().toString()))
                    .log("a response that nobody waits for (unknown, late or a repeat) was dropped");
        }
    }

    /** What is answered to one POST: a JSON text, or an event stream as soon as a call is among its requests. */
    private final class PostReply implements McpCall.Reply, Stream.Owner {
        private final HttpServer.Exchange exchange;
        private final McpSession session;
        private final boolean batch;
        private final boolean mayStream;
        private final List<ObjectNode> ready;
        private final List<McpCall> open = new ArrayList<>();
        private int left;
        private Stream stream;

        PostReply(HttpServer.Exchange exchange, McpSession session, boolean batch, boolean mayStream, int left,
                List<ObjectNode> ready) {
            this.exchange = exchange;
            this.session = session;
            this.batch = batch;
            this.mayStream = mayStream;
            this.left = left;
            this.ready = ready;
        }

        void take(Message.Request request, Object prompt) {
            if (!request.method().equals(Mcp.TOOLS_CALL)) {
                done(answer(request));
            } else if (prompt instanceof String problem) {
                done(JsonRpc.error(request.id(), JsonRpc.INVALID_PARAMS, problem, null));
            } else if (prompt instanceof Late late) {
                admission.arrived(value(late.classId()), repeat(request.params()));
                calls.refusedLate(late.classId(), tenant(request), repeat(request.params()));
                done(late(request.id(), late.retryAfter()));
            } else {
                admission.arrived(value(((Prompt) prompt).classId()), repeat(request.params()));
                call(request, (Prompt) prompt);
            }
        }

        private ObjectNode answer(Message.Request request) {
            return switch (request.method()) {
                case Mcp.PING -> JsonRpc.result(request.id(), JsonNodeFactory.instance.objectNode());
                case Mcp.TOOLS_LIST -> {
                    ObjectNode result = JsonNodeFactory.instance.objectNode();
                    result.set("tools", prompts.listing());
                    yield JsonRpc.result(request.id(), result);
                }
                case Mcp.INITIALIZE -> JsonRpc.error(request.id(), JsonRpc.INVALID_REQUEST,
                        "Invalid Request: initialize is sent alone", null);
                default -> JsonRpc.error(request.id(), JsonRpc.METHOD_NOT_FOUND,
                        "Method not found: " + clip(request.method()), null);
            };
        }

        private void call(Message.Request request, Prompt prompt) {
            String problem = null;
            int code = Mcp.LIMIT;
            if (session.calls.containsKey(request.id().toString())) {
                code = JsonRpc.INVALID_REQUEST;
                problem = "Invalid Request: a call with id " + clip(request.id().toString()) + " is under way";
            } else if (session.wasCancelled(request.id().toString(), loop.now())) {
                code = Mcp.FAILED;
                problem = "cancelled by the client";
            } else if (known(request, prompt)) {
                return;
            } else if (prompt.tools() != null && !mayStream) {
                code = JsonRpc.INVALID_PARAMS;
                problem = "/arguments/tools: tools need a client that accepts text/event-stream";
            } else if (stopping) {
                code = Mcp.STOPPING;
                problem = "the gateway is stopping";
            } else if (session.calls.size() >= settings.maxCallsPerSession()) {
                problem = "no more than " + settings.maxCallsPerSession() + " calls of a session at once";
            } else if (!calls.hasRoom()) {
                problem = "no more than " + all.limits().maxCalls() + " calls at once";
            }
            if (problem != null) {
                if (code == Mcp.LIMIT || code == Mcp.STOPPING) {
                    calls.turnedAway(prompt, tenant(request), repeat(request.params()));
                }
                ObjectNode data = JsonNodeFactory.instance.objectNode()
                        .put("retryable", code == Mcp.LIMIT || code == Mcp.STOPPING);
                done(JsonRpc.error(request.id(), code, problem, data));
                return;
            }
            if (mayStream && stream == null) {
                stream = new Stream(loop, session.nextStream++, settings.replayBytes(),
                        GatewaySettings.micros(settings.resumeWindowMs()),
                        GatewaySettings.micros(settings.keepAliveMs()), this);
                session.streams.put(stream.number(), stream);
                stream.open(exchange, session.id, session.version.compareTo(Mcp.PRIMED_SINCE) >= 0);
            } else if (stream == null) {
                exchange.onGone(() -> leaveAll("the client's connection is gone"));
            }
            start(request, prompt);
        }

        /** Whom the client says it calls for; it only names a row of the reports until tenants prove who they are. */
        private static String tenant(Message.Request request) {
            return request.params().path("_meta").path("lemondock/tenant").asText(null);
        }

        /** Whether an earlier call under the client's key keeps this one from running; the client was told what became of it. */
        private boolean known(Message.Request request, Prompt prompt) {
            String key = onceKey(request.params());
            CallBook.Fate fate = calls.known(prompt, key);
            if (fate == null) {
                return false;
            }
            boolean again = fate == CallBook.Fate.UNDER_WAY || fate == CallBook.Fate.FULL;
            ObjectNode data = JsonNodeFactory.instance.objectNode().put("retryable", again)
                    .put("became", fate.name().toLowerCase(Locale.ROOT));
            ArrayNode told = data.putArray("relayed");
            calls.relayed(key).forEach(r -> told.addObject().put("tool", r.tool()).put("answered", r.answered()));
            done(JsonRpc.error(request.id(), again ? Mcp.LIMIT : Mcp.FAILED, switch (fate) {
                case UNDER_WAY -> "a call under that key is under way";
                case SERVED -> "the call under that key was served";
                case FULL -> "no more calls can be remembered at present";
                default -> "the call under that key may have run";
            }, data));
            return true;
        }

        private void start(Message.Request request, Prompt prompt) {
            JsonNode token = request.params().path("_meta").get("progressToken");
            McpCall call = new McpCall(session, request.id(), stream == null ? null : token,
                    all.classes().get(prompt.classId()).repeat().equals("safe"), prompt.conversation(), this);
            open.add(call);
            session.calls.put(call.key(), call);
            long key = Calls.sessionKey(prompt.conversation(), session.id + "/" + session.nextCall++);
            calls.start(prompt, key, tenant(request), repeat(request.params()), onceKey(request.params()), call);
        }

        @Override
        public void message(String json) {
            if (stream != null) {
                stream.send(json);
            }
        }

        @Override
        public void progress(Progress progress, int tokens, CharSequence piece) {
            if (stream != null) {
                stream.send(progress, tokens, piece);
            }
        }

        @Override
        public void response(McpCall call, ObjectNode response) {
            closed(call);
            done(response);
        }

        @Override
        public int shard() {
            return exchange.shard();
        }

        @Override
        public Object lock() {
            return stream != null ? stream : this;
        }

        @Override
        public boolean flows() {
            return stream == null || stream.flows();
        }

        @Override
        public void cancelled(McpCall call) {
            closed(call);
            if (stream == null) {
                done(JsonRpc.error(call.id(), Mcp.FAILED, "cancelled by the client", null));
            } else {
                left--;
            }
            flush();
        }

        private void closed(McpCall call) {
            open.remove(call);
            session.calls.remove(call.key(), call);
        }

        private void done(ObjectNode response) {
            left--;
            ready.add(response);
            if (stream != null || left == 0) {
                flush();
            }
        }

        /** Sends what is ready; ends the answer when nothing is owed any more. */
        void flush() {
            if (stream != null) {
                ready.forEach(r -> stream.send(r.toString()));
                ready.clear();
                if (left == 0) {
                    stream.finish();
                }
            } else if (left == 0 && !ready.isEmpty()) {
                JsonNode body = ready.get(0);
                if (batch) {
                    body = JsonNodeFactory.instance.arrayNode().addAll(ready);
                }
                ready.clear();
                exchange.respond(200, Headers.of("content-type", "application/json", Mcp.SESSION_HEADER, session.id),
                        bytes(body));
            }
        }

        @Override
        public void slow() {
            open.forEach(c -> c.call().pause());
        }

        @Override
        public void flow() {
            open.forEach(c -> c.call().resume());
        }

        @Override
        public void over(Stream ended, boolean delivered) {
            session.streams.remove(ended.number(), ended);
            if (!session.ended) {
                leaveAll("the client's stream was not taken up again");
            }
        }

        private void leaveAll(String why) {
            for (McpCall call : List.copyOf(open)) {
                call.call().leave(why);
                closed(call);
            }
        }
    }

    // ==== small answers

    private static void text(HttpServer.Exchange exchange, int status, String what) {
        exchange.respond(status, Headers.of("content-type", "text/plain; charset=utf-8"),
                (what + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private static void error(HttpServer.Exchange exchange, int status, JsonNode id, int code, String what) {
        exchange.respond(status, Headers.of("content-type", "application/json"),
                bytes(JsonRpc.error(id, code, what, null)));
    }

    private static byte[] bytes(JsonNode node) {
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static String clip(String text) {
        return text.length() > 80 ? text.substring(0, 80) + "..." : text;
    }
}
