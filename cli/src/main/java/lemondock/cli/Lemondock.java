package lemondock.cli;

import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.Callable;
import lemondock.gateway.Gateway;
import lemondock.platform.PlatformMain;
import lemondock.simulator.SimulatorAdapter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * The command line of the program. Exit codes: 0 success, 1 a rule was violated or service is
 * degraded, 2 usage error or invalid settings.
 */
@Command(
    name = "lemondock",
    mixinStandardHelpOptions = true,
    versionProvider = Lemondock.Version.class,
    description =
        "A router for language-model serving with prefill and decode on separate engines.",
    subcommands = {
      GatewayCommand.class,
      EmulatorCommand.class,
      CatalogueEmulatorCommand.class,
      ConfigCommand.class,
      DemoCommand.class,
      ScenarioCommand.class,
      StatusCommand.class,
      MetricsCommand.class,
      PutvalCommand.class,
      CollectorEmulatorCommand.class,
      PlatformEmulatorCommand.class,
      Lemondock.PlatformGatewayCommand.class,
      Lemondock.SimulatorAdapterCommand.class
    })
public final class Lemondock implements Callable<Integer> {
  /** Provides the text of {@code --version}. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      return new String[] {"lemondock " + Gateway.VERSION};
    }
  }

  /** Runs the program. */
  public static void main(String[] args) throws IOException, InterruptedException {
    // These two commands bypass picocli, because the simulator and the platform call their main
    // methods without it, too.
    if (args.length == 1 && isCommand(args[0], "simulator-adapter", "wirehost")) {
      SimulatorAdapter.main(args);
      return;
    }
    if (args.length > 0 && isCommand(args[0], "platform-gateway", "node")) {
      PlatformMain.main(Arrays.copyOfRange(args, 1, args.length));
      return;
    }
    System.exit(commandLine().execute(args));
  }

  private static boolean isCommand(String argument, String name, String earlierName) {
    return argument.equals(name) || argument.equals(earlierName);
  }

  /** Creates the command line with all commands; earlier names of commands work but are hidden. */
  static CommandLine commandLine() {
    CommandLine line = new CommandLine(new Lemondock());
    addHidden(line, "bad-day", new ScenarioCommand());
    addHidden(line, "standin", new EmulatorCommand());
    addHidden(line, "tally", new MetricsDumpCommand());
    addHidden(line, "platform", new PlatformEmulatorCommand());
    addHidden(line, "node", new PlatformGatewayCommand());
    addHidden(line, "wirehost", new SimulatorAdapterCommand());
    line.setExecutionExceptionHandler(
        (e, command, parsed) -> {
          command.getErr().println("lemondock: " + (e.getMessage() == null ? e : e.getMessage()));
          return 2;
        });
    return line;
  }

  private static void addHidden(CommandLine line, String earlierName, Object command) {
    CommandLine subcommand = new CommandLine(command);
    subcommand.getCommandSpec().usageMessage().hidden(true);
    line.addSubcommand(earlierName, subcommand);
  }

  @Override
  public Integer call() {
    CommandLine.usage(this, System.err);
    return 2;
  }

  /** Listed in the help; {@link #main} runs this command without picocli. */
  @Command(
      name = "platform-gateway",
      description =
          "Runs one gateway of the platform, configured by the file that ROUTER_CONFIG or CONFIG"
              + " names.")
  static final class PlatformGatewayCommand implements Callable<Integer> {
    @Parameters(arity = "0..1", paramLabel = "CONFIG")
    private String config;

    @Override
    public Integer call() throws InterruptedException {
      PlatformMain.main(config == null ? new String[0] : new String[] {config});
      return 0;
    }
  }

  /** Listed in the help; {@link #main} runs this command without picocli. */
  @Command(
      name = "simulator-adapter",
      description =
          "Serves the simulator's protocol with the routing policy (standard input and output).")
  static final class SimulatorAdapterCommand implements Callable<Integer> {
    @Override
    public Integer call() throws IOException {
      SimulatorAdapter.main(new String[] {"simulator-adapter"});
      return 0;
    }
  }
}
