import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What all cases have in common: their arguments, temporary folder, record and exit code. */
final class Harness {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;

  /** One case. */
  interface Case {
    /** Runs the case and returns one of the exit codes. */
    int run(Run run) throws Exception;
  }

  /**
   * One run of a case.
   *
   * @param root root of the repository
   * @param folder a temporary folder, deleted afterwards
   * @param trouble false if the disruption is to be left out
   */
  record Run(Path root, Path folder, boolean trouble, Trace trace) {}

  private Harness() {}

  /**
   * Runs a case and exits with its code.
   *
   * @param args the root of the repository and the folder for record.txt
   */
  static void main(String[] args, Case testCase) throws IOException {
    Trace trace = new Trace(Path.of(args[1]).resolve("record.txt"));
    Path folder = Files.createTempDirectory("review");
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = COULD_NOT_RUN;
    try {
      result = testCase.run(new Run(Path.of(args[0]), folder, trouble, trace));
    } catch (Exception e) {
      trace.say("the case could not run: %s", e);
    }
    try {
      delete(folder);
    } catch (IOException | UncheckedIOException e) {
      trace.log("the temporary folder could not be deleted: %s", e);
    }
    trace.flush();
    System.exit(result);
  }

  private static void delete(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }

  /** A class of requests in the settings. */
  static String requestClass(String name, int deadlineMillis, String repeat) {
    return "{\"name\":\""
        + name
        + "\",\"goal-time-ms\":1500,\"deadline-ms\":"
        + deadlineMillis
        + ",\"credit\":1,\"late-worth\":0.2,\"stream\":true,\"repeat\":"
        + repeat
        + "}";
  }

  /** Settings like those of coast-assist, for one gateway, with these classes. */
  static String settings(List<String> classes) {
    String tokenAims = String.join(",", classes.stream().map(any -> "70").toList());
    String promptAims = String.join(",", classes.stream().map(any -> "40000").toList());
    return """
        {"me":0,"siblings":1,"resolution-ms":2,"registry-mode":"push","dcs":["a"],"az":0,
         "skus":["prefill","decode"],
         "classes":[%s],
         "tenants":[{"name":"acme","quota-per-s":1000}],
         "limits":{"max-attempts":4,"cancel":true,"second-copies":false,"connect-timeout-ms":250,
           "retry-after":true,"max-retry-after-ms":2000,"conn-idle-ms":15000},
         "obligations":{"answer-slack-ms":8,"stop-sending-within-ms":250,"cold-share":0.32,
           "warm-up-ms":8300,"overload-factor":2.5,"fall-ms":2000},
         "specifics":{"release-within-ms":500,"duty-by-kind":["read","write"],
           "memory-tokens":[200000,150000],"token-aim-ms":[%s],
           "aim-us-per-1000-prompt-tokens":[%s]}}
        """
        .formatted(String.join(",", classes), tokenAims, promptAims);
  }
}
