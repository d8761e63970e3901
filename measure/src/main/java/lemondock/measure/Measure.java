package lemondock.measure;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lemondock.rehearsal.Presets;
import lemondock.standin.collect.CollectdListener;
import lemondock.standin.collect.GraphiteListener;
import org.HdrHistogram.Histogram;
import org.slf4j.LoggerFactory;

/**
 * The measurements of docs/PERFORMANCE.md. Each part runs gateway, engines and baseline as processes of their own on
 * this machine and prints ratios within one run. {@code all}, {@code latency}, {@code relay}, {@code open},
 * {@code overload}, {@code recovery}, {@code decisions}; for reports {@code recording}, {@code reports}, {@code reporting} and {@code detector}.
 */
public final class Measure {
    private static final List<Child> CHILDREN = new ArrayList<>();

    private Measure() { }

    /** A process of the measurement. */
    private static final class Child {
        private final Process process;
        private final BufferedReader out;
        private final int port;

        Child(String heap, String... args) throws IOException {
            this(List.of(), heap, args);
        }

        Child(List<String> before, String heap, String... args) throws IOException {
            List<String> command = new ArrayList<>(before);
            command.addAll(List.of(ProcessHandle.current().info().command().orElse("java"),
                    "-Xmx" + heap, "-cp", System.getProperty("java.class.path"), "lemondock.measure.Measure"));
            command.addAll(List.of(args));
            process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
            CHILDREN.add(this);
            out = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
            port = Integer.parseInt(line("ready"));
        }

        private String line(String begin) throws IOException {
            for (String line = out.readLine(); line != null; line = out.readLine()) {
                if (line.startsWith(begin + " ")) {
                    return line.substring(begin.length() + 1);
                }
            }
            throw new IOException("a process ended before it said " + begin);
        }

        Duration cpu() {
            return process.info().totalCpuDuration().orElse(Duration.ZERO);
        }
    }

    /** Runs a measurement, or one of its processes. */
    public static void main(String[] args) throws Exception {
        ((Logger) LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME)).setLevel(Level.ERROR);
        String what = args.length == 0 ? "all" : args[0];
        try {
            switch (what) {
                case "engine" -> Roles.engine(Integer.parseInt(args[1]), Double.parseDouble(args[2]));
                case "gateway" -> Roles.gateway(Path.of(args[1]));
                case "relay-process" -> Roles.relay(Integer.parseInt(args[1]), Integer.parseInt(args[2]));
                case "firehose" -> Roles.firehose(Integer.parseInt(args[1]));
                case "latency" -> latency();
                case "relay" -> relay();
                case "open" -> open();
                case "overload" -> overload();
                case "recovery" -> recovery();
                case "recording" -> Recording.run();
                case "reports" -> Reports.run();
                case "reporting" -> reporting();
                case "detector", "detector-days" -> DetectorDays.main(args);
                case "decisions" -> Decisions.run();
                case "all" -> {
                    Decisions.run();
                    latency();
                    relay();
                    open();
                }
                default -> System.err.println("usage: measure [all|latency|relay|open|overload|recovery|decisions|recording|reports|reporting|detector FILE...]");
            }
        } finally {
            CHILDREN.forEach(c -> c.process.destroy());
        }
    }

    private static Path settings(int... engines) throws IOException {
        return settings("{\"tickMs\":10,\"intervalMs\":10}", engines);
    }

    private static Path settings(String reporting, int... engines) throws IOException {
        StringBuilder list = new StringBuilder("{\"servers\":[");
        for (int i = 0; i < engines.length; i++) {
            list.append(i == 0 ? "" : ",").append("{\"name\":\"m").append(i).append("\",\"address\":\"127.0.0.1:")
                    .append(engines[i]).append("\",\"kind\":\"mixed\",\"zone\":\"north\",\"rack\":\"r1\"}");
        }
        Path folder = Files.createTempDirectory("lemondock-measure");
        Path file = folder.resolve("list.json");
        Files.writeString(file, list.append("]}"));
        Path settings = folder.resolve("gateway.json");
        Files.writeString(settings, "{\"name\":\"gw\",\"reporting\":" + reporting + ",\"front\":{\"listen\":\"127.0.0.1:0\",\"maxConnections\":40000,"
                + "\"maxSessions\":40000,\"replayBytes\":4096},\"limits\":{\"maxCalls\":40000},"
                + "\"engines\":{\"maxConnectionsPerServer\":40000,\"streamSilenceMs\":60000,\"connectTimeoutMs\":5000},"
                + "\"discovery\":{\"kind\":\"file\",\"path\":\"" + file + "\"},\"classes\":[{\"name\":\"sale-lookup\","
                + "\"aimMs\":60000,\"deadlineMs\":120000,\"maxTokens\":1000000,\"tokenAimMs\":2000}],"
                + "\"kinds\":[{\"name\":\"mixed\",\"role\":\"mixed\",\"memoryTokens\":100000000000}]}");
        return settings;
    }

    private static Path overloadSettings(String more, int engine) throws IOException {
        Path plain = settings("{\"tickMs\":10,\"intervalMs\":10}", engine);
        String text = Files.readString(plain);
        int from = text.indexOf("\"classes\":[");
        text = text.substring(0, from) + "\"classes\":" + Overload.classes() + text.substring(text.indexOf(",\"kinds\""));
        Files.writeString(plain, text.replace("\"limits\":{\"maxCalls\":40000}", more));
        return plain;
    }

    /** One processor for a gateway, if the system lets us say so; engine and load have the others. */
    private static Child oneProcessor(Path settings) throws IOException {
        return new Child(List.of("taskset", "-c", "0"), "1g", "gateway", settings.toString());
    }

    private static Child otherProcessors(String... args) throws IOException {
        return new Child(List.of("taskset", "-c", "1-" + (Runtime.getRuntime().availableProcessors() - 1)), "2g", args);
    }

    private static Load overloadLoad() {
        return new Load(3, 5_000);
    }

    /** Worth in time against offered load, by the ways to keep overload out. */
    private static void overload() throws Exception {
        int rounds = Integer.getInteger("rounds", 3);
        double seconds = Integer.getInteger("seconds", 8);
        Child engine = otherProcessors("engine", "100000", "5");
        Overload it = new Overload();
        Child first = oneProcessor(overloadSettings("\"limits\":{\"maxCalls\":40000}", engine.port));
        try (Load load = overloadLoad()) { // warms up
            it.run(load, first.port, new double[] {100, 400}, new double[] {4, 4}, 1);
        }
        double capacity = it.capacity(Measure::overloadLoad, first.port);
        first.process.destroy();
        int cap = Math.max(4, (int) (capacity * 0.15)); // Little: an answer of 100 ms, and half as much again
        System.out.printf(Locale.ROOT, "capacity %.0f calls a second on one processor; worth in time a second, %d rounds of %.0f s, "
                + "median (spread)%n", capacity, rounds, seconds);
        double[] loads = {0.5, 1, 2, 5, 10};
        StringBuilder head = new StringBuilder("| way |");
        for (double load : loads) {
            head.append(' ').append(load).append(" x |");
        }
        System.out.println(head + "\n| --- |" + " --- |".repeat(loads.length));
        for (Map.Entry<String, String> way : Overload.ways(cap).entrySet()) {
            Child gateway = oneProcessor(overloadSettings(way.getValue(), engine.port));
            try (Load load = overloadLoad()) {
                it.run(load, gateway.port, new double[] {100, capacity / 2}, new double[] {4, 4}, 1);
            }
            StringBuilder line = new StringBuilder("| " + way.getKey() + " |");
            for (double times : loads) {
                List<Double> worths = new ArrayList<>();
                List<Double> cpu = new ArrayList<>();
                for (int round = 0; round < rounds; round++) {
                    try (Load load = overloadLoad()) {
                        Duration before = gateway.cpu();
                        Overload.Outcome outcome = it.run(load, gateway.port, new double[] {capacity * times},
                                new double[] {seconds}, 10 + round);
                        worths.add(outcome.worth());
                        cpu.add(gateway.cpu().minus(before).toMillis() / 10.0 / seconds);
                        System.err.printf(Locale.ROOT, "%s at %.1f x: worth %.0f, sent %d, in time %d and %d, refused %d, late %d, broken %d%n",
                                way.getKey(), times, outcome.worth(), outcome.sent, outcome.good.get(0), outcome.good.get(1),
                                outcome.refused.get(), outcome.late.get(), outcome.broken.get());
                    }
                    TimeUnit.SECONDS.sleep(2);
                }
                line.append(' ').append(Overload.spread(worths)).append(", ").append(Overload.spread(cpu)).append(" % |");
            }
            System.out.println(line);
            gateway.process.destroy();
        }
        engine.process.destroy();
    }

    /** How long after a burst of ten times the capacity, and after a pause of the process, calls are in time again. */
    private static void recovery() throws Exception {
        int rounds = Integer.getInteger("rounds", 5);
        Child engine = otherProcessors("engine", "100000", "5");
        Overload it = new Overload();
        Child gateway = oneProcessor(overloadSettings("\"limits\":{\"maxCalls\":40000}", engine.port));
        try (Load load = overloadLoad()) {
            it.run(load, gateway.port, new double[] {100, 400}, new double[] {4, 4}, 1);
        }
        double capacity = it.capacity(Measure::overloadLoad, gateway.port);
        System.out.printf(Locale.ROOT, "capacity %.0f calls a second on one processor; %d rounds%n", capacity, rounds);
        List<Double> after = Overload.list();
        List<Double> broken = Overload.list();
        for (int round = 0; round < rounds; round++) {
            try (Load load = overloadLoad()) {
                Overload.Outcome outcome = it.run(load, gateway.port, new double[] {capacity / 2, capacity * 10, capacity / 2},
                        new double[] {3, 10, 8}, 20 + round);
                after.add(1_000 * Overload.recovery(outcome, 13));
                broken.add((double) outcome.broken.get());
            }
        }
        System.out.println("after a burst of 10 s: in time again after " + Overload.spread(after) + " ms; broken streams "
                + Overload.spread(broken));
        after.clear();
        broken.clear();
        for (int round = 0; round < rounds; round++) {
            try (Load load = overloadLoad()) {
                Thread pause = new Thread(() -> {
                    try {
                        TimeUnit.SECONDS.sleep(3);
                        signal(gateway, "STOP");
                        TimeUnit.SECONDS.sleep(3);
                        signal(gateway, "CONT");
                    } catch (IOException | InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                });
                pause.start();
                Overload.Outcome outcome = it.run(load, gateway.port, new double[] {capacity / 2}, new double[] {14}, 40 + round);
                pause.join();
                after.add(1_000 * Overload.recovery(outcome, 6.2)); // sessions are opened first
                broken.add((double) outcome.broken.get());
            }
        }
        System.out.println("after a pause of 3 s: in time again after " + Overload.spread(after) + " ms; broken streams "
                + Overload.spread(broken));
        gateway.process.destroy();
        engine.process.destroy();
    }

    private static void signal(Child child, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(child.process.pid())).start().waitFor();
    }

    private static String micros(Histogram h) {
        return String.format(Locale.ROOT, "p50 %d, p99 %d, p99.9 %d us", h.getValueAtPercentile(50),
                h.getValueAtPercentile(99), h.getValueAtPercentile(99.9));
    }

    /** Streams of a token every 20 ms: straight to the stand-in, over a bare Netty relay of bytes, and over the gateway. */
    private static void latency() throws Exception {
        int streams = Integer.getInteger("streams", 1000);
        int rounds = Integer.getInteger("rounds", 5);
        int words = Integer.getInteger("words", 200);
        int threads = Integer.getInteger("threads", 2);
        Child engine = new Child("2g", "engine", "8000", "20");
        Child netty = new Child("1g", "relay-process", Integer.toString(engine.port), Integer.toString(threads));
        Child gateway = new Child("1g", "gateway", settings(engine.port).toString());
        String[] ways = {"direct", "netty", "gateway"};
        Child[] children = {engine, netty, gateway};
        double[][][] rows = new double[ways.length][9][rounds];
        for (int round = -1; round < rounds; round++) { // the first warms up
            for (int w = 0; w < ways.length; w++) {
                Child child = children[w];
                try (Load load = new Load(2)) {
                    List<String> sessions = w == 2 ? load.sessions(child.port, streams) : List.of();
                    CountDownLatch done = new CountDownLatch(streams);
                    Duration before = child.cpu();
                    Duration engineBefore = engine.cpu();
                    Duration loadBefore = ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO);
                    for (int i = 0; i < streams; i++) {
                        String prompt = "#s" + i + "# stamp each word answer in " + words + " words";
                        load.stream(i, child.port, w == 2 ? sessions.get(i) : null,
                                w == 2 ? Load.call(i, prompt) : Load.direct(prompt), true, done);
                        if (i % 5 == 4) {
                            Thread.sleep(2); // arrivals over some time, not all at once
                        }
                    }
                    done.await(120, TimeUnit.SECONDS);
                    if (round >= 0) {
                        double events = load.events.get();
                        double[] row = {load.first.getValueAtPercentile(50), load.first.getValueAtPercentile(99),
                            load.transit.getValueAtPercentile(50), load.transit.getValueAtPercentile(99),
                            load.transit.getValueAtPercentile(99.9), child.cpu().minus(before).toNanos() / 1e3 / events,
                            engine.cpu().minus(engineBefore).toNanos() / 1e3 / events,
                            ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO).minus(loadBefore)
                                    .toNanos() / 1e3 / events, load.failures.get()};
                        for (int c = 0; c < row.length; c++) {
                            rows[w][c][round] = row[c];
                        }
                    }
                }
            }
        }
        System.out.println(streams + " streams of " + words + " tokens, one every 20 ms; " + rounds + " rounds, median (spread)\n"
                + "| way | first p50 us | first p99 us | token p50 us | token p99 us | token p99.9 us | CPU us a token | engine's | "
                + "load's | failures |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (int w = 0; w < ways.length; w++) {
            StringBuilder line = new StringBuilder("| " + ways[w]);
            for (double[] column : rows[w]) {
                double[] sorted = column.clone();
                java.util.Arrays.sort(sorted);
                line.append(String.format(Locale.ROOT, " | %.4g (%.4g to %.4g)", sorted[rounds / 2], sorted[0],
                        sorted[rounds - 1]));
            }
            System.out.println(line.append(" |"));
        }
        engine.process.destroy();
        netty.process.destroy();
        gateway.process.destroy();
    }

    /** The same streams through gateways that report nothing, to healthy, to stalled and to absent collectors. */
    private static void reporting() throws Exception {
        int streams = Integer.getInteger("streams", 500);
        int rounds = Integer.getInteger("rounds", 5);
        int words = 150;
        Child engine = new Child("2g", "engine", "4000", "20");
        try (GraphiteListener good = new GraphiteListener(0, false, GraphiteListener.Fault.NONE);
                GraphiteListener pickle = new GraphiteListener(0, true, GraphiteListener.Fault.NONE);
                GraphiteListener stalled = new GraphiteListener(0, false, GraphiteListener.Fault.NEVER_READS);
                CollectdListener udp = new CollectdListener(0, Map.of(), 1)) {
            int nobody = Presets.freePort();
            Map<String, String> kinds = new LinkedHashMap<>();
            kinds.put("off", "{\"tickMs\":10,\"intervalMs\":10}");
            kinds.put("healthy", destinations(good.port(), pickle.port(), udp.port()));
            kinds.put("stalled", destinations(stalled.port(), stalled.port(), nobody));
            kinds.put("absent", destinations(nobody, nobody, nobody));
            Map<String, Child> gateways = new LinkedHashMap<>();
            for (Map.Entry<String, String> kind : kinds.entrySet()) {
                gateways.put(kind.getKey(), new Child("1g", "gateway", settings(kind.getValue(), engine.port).toString()));
            }
            Map<String, List<double[]>> results = new LinkedHashMap<>();
            for (int round = -1; round < rounds; round++) { // the first warms up
                for (Map.Entry<String, Child> kind : gateways.entrySet()) {
                    try (Load load = new Load(2)) {
                        Child gateway = kind.getValue();
                        List<String> sessions = load.sessions(gateway.port, streams);
                        CountDownLatch done = new CountDownLatch(streams);
                        Duration before = gateway.cpu();
                        long from = System.nanoTime();
                        for (int i = 0; i < streams; i++) {
                            load.stream(i, gateway.port, sessions.get(i), Load.call(i, "#s" + i
                                    + "# stamp each word answer in " + words + " words"), true, done);
                            if (i % 5 == 4) {
                                Thread.sleep(2);
                            }
                        }
                        done.await(120, TimeUnit.SECONDS);
                        if (round >= 0) {
                            results.computeIfAbsent(kind.getKey(), k -> new ArrayList<>()).add(new double[] {
                                load.first.getValueAtPercentile(99), load.transit.getValueAtPercentile(50),
                                load.transit.getValueAtPercentile(99), load.transit.getValueAtPercentile(99.9),
                                load.events.get() / ((System.nanoTime() - from) / 1e9),
                                gateway.cpu().minus(before).toMillis() / 1000.0, load.failures.get()});
                        }
                    }
                }
            }
            System.out.println("| reports | first p99 us | token p50 us | token p99 us | token p99.9 us | events/s | CPU s | failures |"
                    + "\n| --- | --- | --- | --- | --- | --- | --- | --- |");
            results.forEach((kind, rows) -> {
                StringBuilder line = new StringBuilder("| " + kind);
                for (int c = 0; c < rows.get(0).length; c++) {
                    int column = c;
                    double[] sorted = rows.stream().mapToDouble(r -> r[column]).sorted().toArray();
                    line.append(String.format(Locale.ROOT, " | %.4g (%.4g to %.4g)", sorted[sorted.length / 2], sorted[0],
                            sorted[sorted.length - 1]));
                }
                System.out.println(line.append(" |"));
            });
            System.out.println("plaintext values received " + good.received().values() + ", pickle "
                    + pickle.received().values() + ", collectd " + udp.received().values());
        }
    }

    private static String destinations(int plain, int pickle, int udp) {
        return "{\"tickMs\":1000,\"intervalMs\":1000,\"destinations\":[{\"name\":\"a\",\"kind\":\"graphite\",\"address\":"
                + "\"127.0.0.1:" + plain + "\"},{\"name\":\"b\",\"kind\":\"graphite-pickle\",\"address\":\"127.0.0.1:" + pickle
                + "\"},{\"name\":\"c\",\"kind\":\"collectd\",\"address\":\"127.0.0.1:" + udp + "\"}]}";
    }

    /** Events a CPU second of the relaying process: the gateway against a bare Netty relay of bytes. */
    private static void relay() throws Exception {
        int streams = 64;
        int each = 20_000;
        Child hose = new Child("1g", "firehose", "2");
        Child netty = new Child("1g", "relay-process", Integer.toString(hose.port), "2");
        Child gateway = new Child("1g", "gateway", settings(hose.port).toString());
        double[] perCpu = new double[2];
        for (int round = 0; round < 2; round++) {
            for (boolean through : new boolean[] {false, true}) {
                Child relay = through ? gateway : netty;
                try (Load load = new Load(2)) {
                    List<String> sessions = through ? load.sessions(gateway.port, streams) : List.of();
                    CountDownLatch done = new CountDownLatch(streams);
                    Duration before = relay.cpu();
                    long begun = System.nanoTime();
                    for (int i = 0; i < streams; i++) {
                        String prompt = "send " + each + " events";
                        load.stream(i, relay.port, through ? sessions.get(i) : null,
                                through ? Load.call(i, prompt) : Load.direct(prompt), false, done);
                    }
                    done.await(180, TimeUnit.SECONDS);
                    double seconds = (System.nanoTime() - begun) / 1e9;
                    double cpu = relay.cpu().minus(before).toMillis() / 1000.0;
                    perCpu[through ? 1 : 0] = load.events.get() / cpu;
                    if (round == 1) {
                        System.out.printf(Locale.ROOT, "relay, %d streams, %s: %d events in %.1f s (%.0f a second), %d failures, "
                                + "%.1f s of CPU, %.0f events a CPU second%n", streams, through ? "gateway" : "netty",
                                load.events.get(), seconds, load.events.get() / seconds, load.failures.get(), cpu,
                                perCpu[through ? 1 : 0]);
                    }
                }
            }
        }
        System.out.printf(Locale.ROOT, "gateway against bare relay, events a CPU second: %.2f%n", perCpu[1] / perCpu[0]);
        hose.process.destroy();
        netty.process.destroy();
        gateway.process.destroy();
    }

    /** Streams held open at a time by a gateway with a heap of 512 MB. */
    private static void open() throws Exception {
        int streams = Integer.getInteger("open", 10_000);
        Child engine = new Child("4g", "engine", "40000", "1000");
        Child gateway = new Child("512m", "gateway", settings(engine.port).toString());
        try (Load load = new Load(3)) {
            List<String> sessions = load.sessions(gateway.port, streams);
            CountDownLatch done = new CountDownLatch(streams);
            for (int i = 0; i < streams && i < sessions.size(); i++) {
                load.stream(i, gateway.port, sessions.get(i), Load.call(i, "#o" + i + "# answer in 40 words"), false, done);
                if (i % 50 == 49) {
                    Thread.sleep(5);
                }
            }
            Thread.sleep(15_000);
            gateway.process.getOutputStream().write('\n');
            gateway.process.getOutputStream().flush();
            System.out.println("open streams, heap 512 MB: " + gateway.line("heap") + " MB (heap MB, sessions, calls)");
            done.await(90, TimeUnit.SECONDS);
            System.out.printf(Locale.ROOT, "open streams: %d asked, %d events, %d failures, %d not ended%n", streams,
                    load.events.get(), load.failures.get(), done.getCount());
        }
        engine.process.destroy();
        gateway.process.destroy();
    }
}
