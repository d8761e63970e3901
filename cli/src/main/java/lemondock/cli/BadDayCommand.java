package lemondock.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import lemondock.rehearsal.BadDay;
import lemondock.rehearsal.DayScript;
import lemondock.rehearsal.Verdict;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Plays scripted days and judges them. */
@Command(name = "bad-day", mixinStandardHelpOptions = true,
        description = "Plays a scripted day on loopback sockets; exits with 1 if one of the five rules was broken.")
final class BadDayCommand implements Callable<Integer> {
    @Option(names = "--script", paramLabel = "FILE", description = "The day (JSON); without it one is drawn from the seed.")
    private Path script;

    @Option(names = "--seed", defaultValue = "1", description = "Draws the traffic and, without a script, the troubles.")
    private long seed;

    @Option(names = "--seeds", defaultValue = "1", description = "Plays so many days, from the seed on.")
    private int seeds;

    @Option(names = "--seconds", defaultValue = "12", description = "Length of a drawn day.")
    private double seconds;

    @Option(names = "--out", paramLabel = "DIR", defaultValue = "bad-day", description = "Where the verdict goes.")
    private Path out;

    @Option(names = "--log", defaultValue = "error", description = "error, warn, info or debug.")
    private String level;

    @Override
    public Integer call() throws Exception {
        Logs.set("text", level);
        List<BadDay.Result> results = new ArrayList<>();
        for (long s = seed; s < seed + seeds; s++) {
            DayScript day = script == null ? DayScript.draw(s, seconds) : DayScript.read(script).seeded(s);
            BadDay.Result result = new BadDay(day).play();
            results.add(result);
            System.out.println(Verdict.line(result));
        }
        Files.createDirectories(out);
        Files.writeString(out.resolve("verdict.json"), Verdict.json(results));
        Files.writeString(out.resolve("verdict.html"), Verdict.page(results));
        System.out.println("verdict: " + out.resolve("verdict.json") + ", " + out.resolve("verdict.html"));
        return results.stream().allMatch(r -> r.finding().kept()) ? 0 : 1;
    }
}
