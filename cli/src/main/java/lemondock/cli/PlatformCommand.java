package lemondock.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import lemondock.emulator.Platform;
import lemondock.scenario.Node;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a stand-in for the platform that {@code lemondock node} serves on. */
@Command(
    name = "platform",
    mixinStandardHelpOptions = true,
    description =
        "Runs stand-in readers, writers and discovery for 'lemondock node', and writes the"
            + " configuration of one.")
final class PlatformCommand implements Callable<Integer> {
  @Option(
      names = "--config-out",
      required = true,
      paramLabel = "FILE",
      description = "Where the gateway's configuration goes.")
  private Path out;

  @Option(
      names = "--listen",
      defaultValue = "127.0.0.1:8000",
      paramLabel = "HOST:PORT",
      description = "Where the gateway is to listen (default: ${DEFAULT-VALUE}).")
  private String listen;

  @Option(
      names = "--readers",
      defaultValue = "2",
      paramLabel = "N",
      description = "Readers (default: ${DEFAULT-VALUE}).")
  private int readers;

  @Option(
      names = "--writers",
      defaultValue = "2",
      paramLabel = "N",
      description = "Writers (default: ${DEFAULT-VALUE}).")
  private int writers;

  @Override
  public Integer call() throws Exception {
    Logs.set("text", "info");
    Node node = new Node("platform", 1);
    Platform platform = node.ask(() -> new Platform(node.loop(), node.network()));
    platform.start(readers, writers);
    Files.writeString(out, platform.config(listen).toPrettyString());
    System.out.println("ready: bin/lemondock-platform " + out);
    Stops.onSignal(() -> {});
    Stops.await(Long.MAX_VALUE);
    return 0;
  }
}
