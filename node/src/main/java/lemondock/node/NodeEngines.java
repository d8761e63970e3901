package lemondock.node;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.Supplier;
import lemondock.admit.Lateness;
import lemondock.ledger.Engines;
import lemondock.ledger.Leg;
import lemondock.ledger.ServerEntry;
import lemondock.ledger.Silence;
import lemondock.net.Loop;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpEncoder;
import lemondock.net.http.HttpEvent;
import lemondock.net.sse.SseEvent;
import lemondock.policy.Routing.Ending;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The ledger's port to the platform's model servers. Every read and write ends by exactly one {@code ended} or a cancel. */
final class NodeEngines implements Engines<NodeRequest, Boolean, NodeEvent> {
    /** Without a word for so long a stream is broken (microseconds): its client may be left waiting for 5 s behind the last event at most. */
    static final long SILENCE = 4_000_000;
    /**
     * Time until the next server is asked to release. The platform grants 300 ms beyond the settings' own limit for what is held: the holder
     * and three further servers fit into it.
     */
    private static final long RELEASE_RETRY = 80_000;
    private static final int RELEASE_TRIES = 8;
    private static final long RELEASE_ENDS = 1_000_000;
    private static final Logger LOG = LoggerFactory.getLogger(NodeEngines.class);
    private static final String NOT_RUN = "x-not-run";
    private static final byte[] NOTHING = new byte[0];

    private final Loop loop;
    private final Lateness lateness;
    private final HttpClient client;
    private final Supplier<List<ServerEntry>> servers;
    private final Predicate<ServerEntry> wanted;
    private final NodeCount count;
    private final Map<InetSocketAddress, Integer> releasing = new HashMap<>();
    private final ReleaseTargets releaseTargets = new ReleaseTargets();

    /**
     * Makes the adapter; {@code servers} tells who else may be told that a state is let go of, {@code wanted} whether a server chosen some
     * time ago may still be sent to: a change of the list holds for what waits for its connection too.
     */
    NodeEngines(Loop loop, Lateness lateness, HttpClient client, Supplier<List<ServerEntry>> servers, Predicate<ServerEntry> wanted,
            NodeCount count) {
        this.loop = loop;
        this.lateness = lateness;
        this.client = client;
        this.servers = servers;
        this.wanted = wanted;
        this.count = count;
    }

    @Override
    public Work read(ServerEntry server, String name, Leg.Spec<NodeRequest> spec, Attempt<Boolean, NodeEvent> attempt) {
        return send(server, spec.prompt(), new Sent(server, true, attempt));
    }

    @Override
    public Work write(ServerEntry server, String name, Leg.Spec<NodeRequest> spec, Boolean state,
            Attempt<Boolean, NodeEvent> attempt) {
        return send(server, spec.prompt(), new Sent(server, false, attempt));
    }

    private Work send(ServerEntry server, NodeRequest request, Sent sent) {
        sent.call = client.send(server.address(), () -> sent.bytes(request), sent);
        return sent;
    }

    @Override
    public void release(ServerEntry at, String name, NodeRequest request) {
        new Release(request.id, releaseTargets.order(at, request.id, servers.get(), RELEASE_TRIES)).next();
    }

    /** All attempts share the request's name here: while the request goes on a release could take what it needs. */
    @Override
    public void supersede(ServerEntry at, String name, NodeRequest request) {
        doubt(at, name, request);
    }

    @Override
    public void doubt(ServerEntry at, String name, NodeRequest request) {
        request.doubted.add(at);
    }

    @Override
    public void over(NodeRequest request, boolean streamed) {
        if (!request.doubted.isEmpty() && !streamed) {
            release(request.doubted.get(request.doubted.size() - 1), "", request);
        }
        request.doubted.clear();
    }

    /** Calls under way that let go of something, by address. */
    Map<InetSocketAddress, Integer> releasing() {
        return Map.copyOf(releasing);
    }

    /** Tells one server after another that a request's state is let go of, until one has answered; any server passes it on. */
    private final class Release {
        private final String id;
        private final List<InetSocketAddress> targets;
        private int tried;
        private boolean over;
        private Loop.Timer again = () -> { };

        Release(String id, List<InetSocketAddress> targets) {
            this.id = id;
            this.targets = targets;
        }

        void next() {
            again.cancel();
            if (over) {
                return;
            }
            if (tried >= RELEASE_TRIES) {
                count.releaseGivenUp();
                LOG.debug("release of {}: given up after {} tries", id, tried);
                return;
            }
            if (tried == 0) {
                count.releaseBegun();
            } else {
                count.releaseTriedAgain();
            }
            InetSocketAddress to = targets.get(tried++ % targets.size());
            LOG.debug("release of {}: try {} goes to {}", id, tried, to);
            again = loop.schedule(RELEASE_RETRY, this::next);
            releasing.merge(to, 1, Integer::sum);
            HttpClient.Call call = client.send(to, HttpEncoder.request("DELETE", "/state/" + id,
                    Headers.of("host", to.getHostString() + ":" + to.getPort()), NOTHING), new HttpClient.Receiver() {
                        @Override
                        public void done() {
                            ended(to);
                            if (!over) {
                                over = true;
                                count.releaseAnswered();
                                LOG.debug("release of {}: answered by {}", id, to);
                            }
                            again.cancel();
                        }

                        @Override
                        public void failed(HttpClient.Failure failure, String what) {
                            ended(to);
                            LOG.debug("release of {}: {} at {}, {}", id, failure, to, what);
                            if (!over) {
                                again.cancel();
                                again = loop.schedule(1_000, Release.this::next);
                            }
                        }
                    });
            loop.schedule(RELEASE_ENDS, () -> {
                if (call.cancel()) { // a machine that says nothing would hold the connection for ever
                    ended(to);
                }
            });
        }

        private void ended(InetSocketAddress to) {
            releasing.computeIfPresent(to, (k, n) -> n == 1 ? null : n - 1);
        }
    }

    /** One attempt on its connection. */
    private final class Sent extends HttpClient.Keeping implements Work {
        private final ServerEntry server;
        private final InetSocketAddress to;
        private final boolean reads;
        private final Attempt<Boolean, NodeEvent> attempt;
        private HttpClient.Call call;
        private boolean over;
        private boolean closed;
        private boolean begun;
        private boolean withdrawn;
        private final Silence quiet = new Silence(loop, lateness, SILENCE, this::silent);

        Sent(ServerEntry server, boolean reads, Attempt<Boolean, NodeEvent> attempt) {
            this.server = server;
            this.to = server.address();
            this.reads = reads;
            this.attempt = attempt;
        }

        /** Made when it is written: a connection may take long to come up. Null if its server wants nothing new by then. */
        ByteBuffer bytes(NodeRequest request) {
            if (!wanted.test(server)) {
                withdrawn = true;
                return null;
            }
            long left = Math.max(1, (request.until - loop.now()) / 1_000);
            Headers headers = Headers.of("host", to.getHostString() + ":" + to.getPort(), "x-deadline-ms", Long.toString(left));
            for (int i = 0; i < request.headers.size(); i++) {
                headers.add(request.headers.name(i), request.headers.value(i));
            }
            return HttpEncoder.request("POST", request.target, headers, request.body);
        }

        @Override
        public void cancel() {
            over();
            call.cancel();
        }

        @Override
        public void pause() {
            quiet.pause();
            call.pause();
        }

        @Override
        public void resume() {
            quiet.resume();
            call.resume();
        }

        @Override
        public void head(HttpEvent.ResponseHead head) {
            super.head(head);
            releaseTargets.answered(server);
        }

        @Override
        public Object map(SseEvent event) {
            return event;
        }

        @Override
        public void event(Object mapped) {
            if (over) {
                return;
            }
            SseEvent event = (SseEvent) mapped;
            byte[] data = event.data().getBytes(StandardCharsets.UTF_8);
            boolean last = NodeEvent.closes(data, data.length);
            if (status() != 200 || reads || closed || !last && (data.length == 0 || data[0] != '{')) {
                call.cancel();
                end(Ending.ERROR, false, to + ": an event that makes no sense here");
                return;
            }
            quiet.heard();
            closed = last;
            attempt.chunk(new NodeEvent(data));
            if (!begun && !over) {
                begun = true;
                quiet.watch();
            }
        }

        private void silent() {
            call.cancel();
            end(Ending.RESET, false, to + ": the stream stayed silent");
        }

        @Override
        public void done() {
            boolean never = "1".equals(header(NOT_RUN));
            int status = status();
            if (reads && status == 202 && !over) {
                over();
                attempt.read(Boolean.TRUE, Math.max(0, NodeEvent.cached(body(), body().length)));
            } else if (!reads && status == 200 && closed) {
                end(Ending.OK, false, "");
            } else if (!reads && status == 200) {
                end(begun ? Ending.RESET : Ending.ERROR, false, to + ": the stream ended before its last event");
            } else if (never && status == 410) {
                end(Ending.FULL, true, to + ": the read state is gone");
            } else if (never && status == 503) {
                end(Ending.FULL, false, to + ": turned away");
            } else if (never) {
                end(Ending.MOOT, false, to + ": status " + status + ", not run");
            } else {
                end(Ending.ERROR, false, to + ": status " + status);
            }
        }

        @Override
        public void failed(HttpClient.Failure failure, String what) {
            end(withdrawn ? Ending.MOOT : Engines.ending(failure), false, what);
        }

        private void over() {
            over = true;
            quiet.end();
        }

        private void end(Ending ending, boolean stateMissing, String what) {
            if (!over) {
                over();
                attempt.ended(ending, stateMissing, what);
            }
        }
    }
}
