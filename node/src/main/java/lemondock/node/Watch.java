package lemondock.node;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import lemondock.ledger.ServerEntry;
import lemondock.net.Loop;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpEncoder;
import lemondock.policy.Routing;

/**
 * Follows discovery: the whole list first, then one watch after another. A call that stays without an answer is given up and made
 * again on a new connection; the list held stays as it is meanwhile. Loop thread only.
 */
final class Watch {
    /** Milliseconds that a call may wait for news. */
    static final int WAIT = 2_000;
    private static final long ANSWER = 400_000;
    private static final long AGAIN = 50_000;
    private static final long AGAIN_MOST = 400_000;
    private static final byte[] NOTHING = new byte[0];

    private final Loop loop;
    private final HttpClient client;
    private final BiConsumer<List<ServerEntry>, Boolean> list;
    private final Consumer<String> log;
    private final Map<String, ServerEntry> held = new LinkedHashMap<>();
    private InetSocketAddress at;
    private long version;
    private boolean whole;
    private long pause = AGAIN;
    private int calls;
    private Loop.Timer limit = () -> { };
    private HttpClient.Call call;

    /** {@code list} takes each list, and whether it is only the one known before the start. */
    Watch(Loop loop, HttpClient client, BiConsumer<List<ServerEntry>, Boolean> list, Consumer<String> log) {
        this.loop = loop;
        this.client = client;
        this.list = list;
        this.log = log;
    }

    /** Begins with what was known before, then asks. */
    void start(InetSocketAddress address, ServerSheet known) {
        if (known != null) {
            apply(known, true);
        }
        follow(address);
    }

    /** Asks at this address from now on, for the whole list first: another one may count its versions otherwise. */
    void follow(InetSocketAddress address) {
        at = address;
        whole = false;
        pause = AGAIN;
        ask();
    }

    private void ask() {
        int number = ++calls;
        if (call != null) {
            call.cancel();
        }
        limit.cancel();
        long wait = whole ? WAIT * 1_000L : 0;
        limit = loop.schedule(wait + ANSWER, () -> again(number, "no answer"));
        String target = whole ? "/v1/servers?since=" + version + "&timeout_ms=" + WAIT : "/v1/servers";
        call = client.send(at, HttpEncoder.request("GET", target, Headers.of("host", at.getHostString() + ":" + at.getPort()),
                NOTHING), new HttpClient.Keeping() {
                    @Override
                    public void done() {
                        if (number == calls) {
                            answered(number, status(), body());
                        }
                    }

                    @Override
                    public void failed(HttpClient.Failure failure, String what) {
                        again(number, what);
                    }
                });
    }

    private void answered(int number, int status, byte[] body) {
        limit.cancel();
        call = null;
        try {
            if (status != 200) {
                throw new IllegalArgumentException("status " + status);
            }
            ServerSheet sheet = ServerSheet.of(Json.object(body));
            if (!sheet.full() && !whole) {
                throw new IllegalArgumentException("changes where the whole list was asked for");
            }
            apply(sheet, false);
        } catch (IllegalArgumentException e) {
            whole = false;
            again(number, e.getMessage());
            return;
        }
        pause = AGAIN;
        ask();
    }

    private void apply(ServerSheet sheet, boolean cached) {
        sheet.skipped().forEach(s -> log.accept("discovery: an entry is passed over: " + s));
        if (sheet.full() || cached) {
            held.clear();
        }
        for (ServerEntry entry : sheet.servers()) {
            if (entry.standing() == Routing.Standing.GONE) {
                held.remove(entry.name());
            } else {
                held.put(entry.name(), entry);
            }
        }
        version = sheet.version();
        whole |= !cached;
        if (cached || sheet.full() || !sheet.servers().isEmpty()) {
            list.accept(List.copyOf(held.values()), cached);
        }
    }

    private void again(int number, String what) {
        if (number != calls) {
            return;
        }
        calls++;
        limit.cancel();
        if (call != null) {
            call.cancel();
            call = null;
        }
        int next = calls;
        log.accept("discovery at " + at + ": " + what);
        loop.schedule(pause, () -> {
            if (next == calls) {
                ask();
            }
        });
        pause = Math.min(AGAIN_MOST, 2 * pause);
    }
}
