package lemondock.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import lemondock.gateway.Gateway;
import lemondock.wire.WireHost;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The program's command line. Exit codes: 0 all well, 1 a rule was broken, 2 bad use or settings. */
@Command(name = "lemondock", mixinStandardHelpOptions = true, versionProvider = Lemondock.Version.class,
        description = "A router for language-model serving with reads and writes on separate engines.",
        subcommands = {GatewayCommand.class, StandinCommand.class, CatalogueCommand.class, ConfigCommand.class,
            DemoCommand.class, BadDayCommand.class, StatusCommand.class, TallyCommand.class, MetricsCommand.class,
            PutvalCommand.class, CollectorCommand.class, Lemondock.WireHostCommand.class})
public final class Lemondock implements Callable<Integer> {
    /** Tells the version. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            return new String[] {"lemondock " + Gateway.VERSION};
        }
    }

    /** Runs the program. */
    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("wirehost")) {
            WireHost.main(args); // the simulator's adapter starts with nothing around it
            return;
        }
        CommandLine line = new CommandLine(new Lemondock());
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            command.getErr().println("lemondock: " + (e.getMessage() == null ? e : e.getMessage()));
            return 2;
        });
        System.exit(line.execute(args));
    }

    @Override
    public Integer call() {
        CommandLine.usage(this, System.err);
        return 2;
    }

    /** Shown in the help; {@link #main} runs it without the command line. */
    @Command(name = "wirehost", description = "The decisions on the simulator's wire (standard input and output).")
    static final class WireHostCommand implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            WireHost.main(new String[] {"wirehost"});
            return 0;
        }
    }
}
