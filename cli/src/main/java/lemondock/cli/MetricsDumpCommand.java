package lemondock.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Prints the current or final values of all metrics of a gateway. */
@Command(
    name = "dump",
    mixinStandardHelpOptions = true,
    description =
        "Prints all metrics of a gateway as JSON: the current ones of a running gateway, or the"
            + " final ones from its reporting.tallyFile.")
final class MetricsDumpCommand implements Callable<Integer> {
  @Parameters(
      paramLabel = "HOST:PORT",
      arity = "0..1",
      description = "reporting.listen of a running gateway.")
  private String gateway;

  @Option(
      names = "--file",
      paramLabel = "FILE",
      description = "File of final metrics that a stopped gateway wrote.")
  private Path file;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws IOException, InterruptedException {
    boolean bothOrNeither = (gateway == null) == (file == null);
    if (bothOrNeither) {
      throw new CommandLine.ParameterException(
          spec.commandLine(), "expected either HOST:PORT or --file FILE");
    }
    JsonNode metrics =
        file == null
            ? StatusClient.get(gateway, "/tally")
            : new ObjectMapper().readTree(Files.readAllBytes(file));
    System.out.println(metrics.toPrettyString());
    return 0;
  }
}
