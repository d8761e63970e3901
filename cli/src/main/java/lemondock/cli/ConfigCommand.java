package lemondock.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.gateway.settings.SettingsException;
import lemondock.gateway.settings.SettingsFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Groups the commands that work on settings files. */
@Command(
    name = "config",
    mixinStandardHelpOptions = true,
    description = "Checks settings.",
    subcommands = ConfigCommand.Check.class)
final class ConfigCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    picocli.CommandLine.usage(this, System.err);
    return 2;
  }

  /** Checks a gateway's settings. */
  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description =
          "Checks a gateway's settings; prints each problem on a line with the file, the JSON"
              + " pointer, the expected and the actual value.")
  static final class Check implements Callable<Integer> {
    @Parameters(paramLabel = "FILE")
    private Path file;

    @Override
    public Integer call() {
      try {
        GatewaySettings settings = SettingsFile.readGateway(file);
        System.out.println(
            file
                + ": good; gateway "
                + settings.name()
                + ", "
                + settings.classes().size()
                + " classes, "
                + settings.kinds().size()
                + " kinds of servers");
        return 0;
      } catch (SettingsException e) {
        e.problems().forEach(System.err::println);
        return 2;
      }
    }
  }
}
